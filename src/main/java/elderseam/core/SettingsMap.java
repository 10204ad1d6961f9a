package elderseam.core;

import elderseam.policy.ConnectionSettings;
import elderseam.policy.DestinationKind;
import elderseam.policy.Idempotency;
import elderseam.policy.PolicySettings;
import elderseam.policy.PriceSettings;
import elderseam.policy.RequestClass;
import elderseam.policy.WeightPrecision;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The settings of a deployment by their paths, such as {@code services.0.name}, and the policy settings derived from
 * them. Immutable.
 *
 * @param values the text of each setting; an empty value and {@code -} are equivalent to an absent one
 */
public record SettingsMap(Map<String, String> values) {
    private static final String UNSET = "-";
    private static final String CLASSES = "services";
    private static final String ORDERED_BY_KEY = "fifoByKey";

    /**
     * Returns the policy settings.
     *
     * @throws IllegalArgumentException if a setting is not a number or out of range; the message names the setting
     */
    public PolicySettings toPolicySettings() {
        return new PolicySettings(
                requestClasses(),
                destinationKinds(),
                tenantRates(),
                (int) getLong("extra.callSlots", 0),
                getInt("limits.mostHeld", Integer.MAX_VALUE),
                getInt("limits.maxAttempts", Integer.MAX_VALUE),
                (int) getLong("replicasOfMe", 1),
                (int) getLong("zone", 0),
                getText("extra.fades", "line").equals("halves"),
                getDouble("overShareWorth", 1),
                getBoolean("limits.mayCancel"),
                getBoolean("limits.secondCopies"),
                getText("discovery", "push").equals("ask"),
                weightPrecision(),
                getLong("limits.maxRetryAfterNs", 0),
                getLong("safety.drainGraceNs", 0),
                getDouble("safety.coldShare", 1),
                getLong("safety.coldNs", 0),
                getDouble("safety.fallMultiple", 1),
                getLong("safety.fallNs", 0),
                getLong("safety.keyQuietNs", 0),
                new ConnectionSettings(
                        getLong("limits.connIdleNs", 0),
                        getInt("limits.multiplex", 1),
                        getLong("limits.connectTimeoutNs", 0)),
                new PriceSettings(getDouble("prices.handshake", 0), getDouble("prices.crossZone", 0), zoneFees()));
    }

    private List<RequestClass> requestClasses() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count(CLASSES); i++) {
            String prefix = CLASSES + "." + i + ".";
            classes.add(new RequestClass(
                    idempotency(prefix + "effect"),
                    !getText(prefix + "keyScope", "all").equals("all"),
                    getBoolean(prefix + ORDERED_BY_KEY),
                    getLong(prefix + "targetNs", 0),
                    getLong(prefix + "giveUpNs", 0),
                    getDouble(prefix + "points", 1),
                    getDouble(prefix + "lateWorth", 0),
                    getLong(prefix + "windowNs", 0)));
        }
        return classes;
    }

    /** Returns for each message class, by index, whether requests with the same ordering key are sent in order. */
    public List<Boolean> orderedClasses() {
        List<Boolean> ordered = new ArrayList<>();
        for (int i = 0; i < count(CLASSES); i++) {
            ordered.add(getBoolean(CLASSES + "." + i + "." + ORDERED_BY_KEY));
        }
        return ordered;
    }

    private Idempotency idempotency(String path) {
        return switch (getText(path, "")) {
            case "repeatable" -> Idempotency.SAFE;
            case "by_key" -> Idempotency.KEYED;
            case "once" -> Idempotency.UNSAFE;
            default -> throw new IllegalArgumentException("unknown value of " + path);
        };
    }

    private List<DestinationKind> destinationKinds() {
        List<String> breakersPerEndpoint = list("extra.kindApart");
        List<String> batchSizes = list("extra.batchByKind");
        int count = Math.max(1, list("flavors").size());
        List<DestinationKind> kinds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean hasBreakerPerEndpoint =
                    i < breakersPerEndpoint.size() && breakersPerEndpoint.get(i).equals("true");
            boolean hasBatchSize = i < batchSizes.size() && !batchSizes.get(i).isEmpty();
            int batchSize = hasBatchSize ? (int) parse(batchSizes.get(i), "extra.batchByKind") : 1;
            kinds.add(new DestinationKind(hasBreakerPerEndpoint, batchSize));
        }
        return kinds;
    }

    private List<Double> tenantRates() {
        List<Double> rates = new ArrayList<>();
        for (int i = 0; i < count("orgs"); i++) {
            rates.add(getDouble("orgs." + i + ".quotaPerS", 0));
        }
        return rates;
    }

    private List<Double> zoneFees() {
        List<Double> fees = new ArrayList<>();
        for (String fee : list("extra.zoneFee")) {
            if (!fee.isEmpty()) {
                fees.add(parse(fee, "extra.zoneFee"));
            }
        }
        return fees;
    }

    private WeightPrecision weightPrecision() {
        return switch (getText("weightKind", "silent")) {
            case "nominal" -> WeightPrecision.EXACT;
            case "rough" -> WeightPrecision.ROUGH;
            default -> WeightPrecision.UNKNOWN;
        };
    }

    private int getInt(String path, int defaultValue) {
        return (int) Math.min(Integer.MAX_VALUE, getLong(path, defaultValue));
    }

    /** Returns the number of elements in a list of objects. */
    int count(String path) {
        return (int) getDouble(path + ".count", 0);
    }

    /** Returns the values of {@code path.N.name} in order of N. */
    public List<String> names(String path) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count(path); i++) {
            names.add(getText(path + "." + i + ".name", ""));
        }
        return names;
    }

    /** Returns the elements of a list of scalars; a single empty element for an absent list. */
    public List<String> list(String path) {
        return List.of(getText(path, "").split(","));
    }

    /** Returns the text of a setting. */
    public String getText(String path, String defaultValue) {
        String value = values.get(path);
        return value == null || value.equals(UNSET) ? defaultValue : value;
    }

    /** Returns a number; throws {@link IllegalArgumentException} if the value is not a number. */
    public double getDouble(String path, double defaultValue) {
        String value = getText(path, "");
        return value.isEmpty() ? defaultValue : parse(value, path);
    }

    /** Returns a number without its fraction; throws {@link IllegalArgumentException} if the value is not a number. */
    public long getLong(String path, long defaultValue) {
        String value = getText(path, "");
        try {
            return value.isEmpty() ? defaultValue : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return (long) parse(value, path);
        }
    }

    /** Returns whether a setting is {@code true} or {@code 1}. */
    public boolean getBoolean(String path) {
        String value = getText(path, "false");
        return value.equals("true") || value.equals("1");
    }

    private static double parse(String value, String path) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(path + " is not a number: '" + value + "'", e);
        }
    }
}
