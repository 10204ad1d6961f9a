package elderseam.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Finds all faults in a deployment's settings and reports for each the setting, what is wrong with it and what is
 * allowed. Only values that cannot make sense for any deployment are faults. An absent setting is not a fault if its
 * absence has an obvious meaning, such as no limit or no price. Used by one thread.
 */
public final class SettingsValidator {
    /** The maximum of durations in nanoseconds and of counts, which must fit in a long. */
    private static final double MAX_NUMBER = 9e18;

    private static final String NOT_NEGATIVE = "0 or more";
    private static final String POSITIVE = "1 or more";
    private static final String SHARE = "0 to 1";
    private static final String DURATION = "0 or more, in nanoseconds";
    private static final String POSITIVE_DURATION = "1 or more, in nanoseconds";

    private final SettingsMap settings;
    private final List<String> faults = new ArrayList<>();

    private SettingsValidator(SettingsMap settings) {
        this.settings = settings;
    }

    /** Returns the faults, one line each; empty if the settings are valid. */
    public static List<String> faults(SettingsMap settings) {
        SettingsValidator validator = new SettingsValidator(settings);
        validator.checkClasses();
        validator.checkTenants();
        validator.checkLimits();
        validator.checkPolicyParameters();
        return validator.faults;
    }

    private void checkClasses() {
        int count = settings.count("services");
        if (count == 0) {
            faults.add("services: missing, allowed: a list of one class or more");
        }
        checkNames("services");
        for (int i = 0; i < count; i++) {
            String prefix = "services." + i + ".";
            String effect = settings.getText(prefix + "effect", "");
            if (effect.isEmpty()) {
                faults.add(prefix + "effect: missing, allowed: repeatable, by_key or once");
            }
            checkOneOf(prefix + "effect", "repeatable", "by_key", "once");
            checkRequired(prefix + "giveUpNs", 1, MAX_NUMBER, POSITIVE_DURATION);
            checkRequired(prefix + "targetNs", 0, MAX_NUMBER, DURATION);
            checkOptional(prefix + "points", 0, MAX_NUMBER, NOT_NEGATIVE);
            checkOptional(prefix + "lateWorth", 0, 1, SHARE);
            if (effect.equals("by_key")) {
                checkRequired(prefix + "windowNs", 0, MAX_NUMBER, DURATION);
            } else {
                checkOptional(prefix + "windowNs", 0, MAX_NUMBER, DURATION);
            }
        }
    }

    private void checkTenants() {
        checkNames("orgs");
        for (int i = 0; i < settings.count("orgs"); i++) {
            checkOptional("orgs." + i + ".quotaPerS", 0, MAX_NUMBER, "0 or more, in requests per second");
        }
    }

    private void checkLimits() {
        checkRequired("extra.callSlots", 1, Integer.MAX_VALUE, POSITIVE);
        checkOptional("limits.mostHeld", 1, MAX_NUMBER, POSITIVE);
        checkOptional("limits.maxAttempts", 1, MAX_NUMBER, POSITIVE);
        checkOptional("replicasOfMe", 1, Integer.MAX_VALUE, POSITIVE);
        checkOptional("limits.connIdleNs", 0, MAX_NUMBER, DURATION); // if absent, idle connections are not kept open
        checkRequired("limits.connectTimeoutNs", 1, MAX_NUMBER, POSITIVE_DURATION);
        checkOptional("limits.maxRetryAfterNs", 0, MAX_NUMBER, DURATION);
    }

    private void checkPolicyParameters() {
        for (String duration : List.of("drainGraceNs", "coldNs", "fallNs", "keyQuietNs")) {
            checkOptional("safety." + duration, 0, MAX_NUMBER, DURATION);
        }
        checkOptional("safety.coldShare", 0, 1, SHARE);
        checkOptional("safety.fallMultiple", 0, MAX_NUMBER, NOT_NEGATIVE);
        checkOptional("overShareWorth", 0, MAX_NUMBER, NOT_NEGATIVE);
        checkOptional("prices.handshake", 0, MAX_NUMBER, NOT_NEGATIVE);
        checkOptional("prices.crossZone", 0, MAX_NUMBER, NOT_NEGATIVE);
        checkOneOf("discovery", "ask", "push");
    }

    /** Checks that names are present and unique, because messages refer to classes and tenants by name. */
    private void checkNames(String list) {
        Set<String> seenNames = new HashSet<>();
        List<String> names = settings.names(list);
        for (int i = 0; i < names.size(); i++) {
            String path = list + "." + i + ".name";
            if (names.get(i).isEmpty()) {
                faults.add(path + ": missing, allowed: a name");
            } else if (!seenNames.add(names.get(i))) {
                faults.add(path + ": '" + names.get(i) + "' is used twice, allowed: a unique name");
            }
        }
    }

    private void checkOneOf(String path, String... allowed) {
        String value = settings.getText(path, "");
        if (!value.isEmpty() && !List.of(allowed).contains(value)) {
            addInvalidValue(path, value, String.join(", ", allowed));
        }
    }

    private void checkRequired(String path, double min, double max, String allowed) {
        if (settings.getText(path, "").isEmpty()) {
            faults.add(path + ": missing, allowed: " + allowed);
        }
        checkOptional(path, min, max, allowed);
    }

    private void checkOptional(String path, double min, double max, String allowed) {
        String value = settings.getText(path, "");
        if (value.isEmpty()) {
            return;
        }
        double number = parseOrNaN(value);
        boolean inRange = number >= min && number <= max;
        if (!inRange) {
            addInvalidValue(path, value, allowed);
        }
    }

    private void addInvalidValue(String path, String value, String allowed) {
        faults.add(path + ": '" + value + "' can't be used, allowed: " + allowed);
    }

    /** Returns NaN, which is outside every range, if the value is not a number. */
    private static double parseOrNaN(String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
