package elderseam.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Every fault of a deployment's settings, a line each: which setting, what is wrong with it, what is allowed. Only what no
 * deployment can mean is a fault; what is absent and has a plain meaning (no such limit, no such price) is none.
 */
public final class SettingsValidator {
    private static final double MOST = 9e18; // nanoseconds and counts fit a long

    private final SettingsMap settings;
    private final List<String> faults = new ArrayList<>();

    private SettingsValidator(SettingsMap settings) {
        this.settings = settings;
    }

    /** The faults, none where the settings can be used. */
    public static List<String> faults(SettingsMap settings) {
        SettingsValidator check = new SettingsValidator(settings);
        check.classes();
        check.names("orgs");
        for (int i = 0; i < check.count("orgs"); i++) {
            check.within("orgs." + i + ".quotaPerS", false, 0, MOST, "0 or more, in requests a second");
        }
        check.within("extra.callSlots", true, 1, Integer.MAX_VALUE, "1 or more");
        check.within("limits.mostHeld", false, 1, MOST, "1 or more");
        check.within("limits.maxAttempts", false, 1, MOST, "1 or more");
        check.within("replicasOfMe", false, 1, Integer.MAX_VALUE, "1 or more");
        check.within("limits.connIdleNs", false, 0, MOST, "0 or more, in nanoseconds"); // none: no connection is kept
        check.within("limits.connectTimeoutNs", true, 1, MOST, "1 or more, in nanoseconds");
        for (String time : List.of(
                "limits.maxRetryAfterNs",
                "safety.drainGraceNs",
                "safety.coldNs",
                "safety.fallNs",
                "safety.keyQuietNs")) {
            check.within(time, false, 0, MOST, "0 or more, in nanoseconds");
        }
        check.within("safety.coldShare", false, 0, 1, "0 to 1");
        check.within("safety.fallMultiple", false, 0, MOST, "0 or more");
        check.within("overShareWorth", false, 0, MOST, "0 or more");
        for (String price : List.of("prices.handshake", "prices.crossZone")) {
            check.within(price, false, 0, MOST, "0 or more");
        }
        check.oneOf("discovery", "ask", "push");
        return check.faults;
    }

    private void classes() {
        if (count("services") == 0) {
            faults.add("services: missing, allowed: a list of one class or more");
        }
        names("services");
        for (int i = 0; i < count("services"); i++) {
            String p = "services." + i + ".";
            if (settings.text(p + "effect", "").isEmpty()) {
                faults.add(p + "effect: missing, allowed: repeatable, by_key or once");
            }
            oneOf(p + "effect", "repeatable", "by_key", "once");
            within(p + "giveUpNs", true, 1, MOST, "1 or more, in nanoseconds");
            within(p + "targetNs", true, 0, MOST, "0 or more, in nanoseconds");
            within(p + "points", false, 0, MOST, "0 or more");
            within(p + "lateWorth", false, 0, 1, "0 to 1");
            within(
                    p + "windowNs",
                    settings.text(p + "effect", "").equals("by_key"),
                    0,
                    MOST,
                    "0 or more, in nanoseconds");
        }
    }

    private int count(String list) {
        return (int) settings.real(list + ".count", 0);
    }

    /** Messages name their class and tenant: a name stands for one. */
    private void names(String list) {
        Set<String> seen = new HashSet<>();
        List<String> names = settings.names(list);
        for (int i = 0; i < names.size(); i++) {
            String path = list + "." + i + ".name";
            if (names.get(i).isEmpty()) {
                faults.add(path + ": missing, allowed: a name");
            } else if (!seen.add(names.get(i))) {
                faults.add(path + ": '" + names.get(i) + "' stands for another already, allowed: a name of its own");
            }
        }
    }

    private void oneOf(String path, String... allowed) {
        String value = settings.text(path, "");
        if (!value.isEmpty() && !List.of(allowed).contains(value)) {
            faults.add(path + ": '" + value + "' can't be used, allowed: " + String.join(", ", allowed));
        }
    }

    private void within(String path, boolean needed, double least, double most, String allowed) {
        String value = settings.text(path, "");
        if (value.isEmpty()) {
            if (needed) {
                faults.add(path + ": missing, allowed: " + allowed);
            }
            return;
        }
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            number = Double.NaN;
        }
        if (!(number >= least && number <= most)) {
            faults.add(path + ": '" + value + "' can't be used, allowed: " + allowed);
        }
    }
}
