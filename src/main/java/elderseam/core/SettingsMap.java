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

/** The settings as both hosts are given them: a value for each path, such as {@code services.0.name}. */
public record SettingsMap(Map<String, String> values) {

    /** What the module is told; a value that is no number is named in the exception. */
    public PolicySettings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < (int) real("services.count", 0); i++) {
            String p = "services." + i + ".";
            Idempotency effect = switch (text(p + "effect", "")) {
                case "repeatable" -> Idempotency.SAFE;
                case "by_key" -> Idempotency.KEYED;
                case "once" -> Idempotency.UNSAFE;
                default -> throw new IllegalArgumentException("unknown " + p + "effect");
            };
            boolean zoned = !text(p + "keyScope", "all").equals("all");
            classes.add(new RequestClass(
                    effect,
                    zoned,
                    flag(p + "fifoByKey"),
                    whole(p + "targetNs", 0),
                    whole(p + "giveUpNs", 0),
                    real(p + "points", 1),
                    real(p + "lateWorth", 0),
                    whole(p + "windowNs", 0)));
        }
        String[] apart = text("extra.kindApart", "").split(",");
        String[] batch = text("extra.batchByKind", "").split(",");
        List<DestinationKind> kinds = new ArrayList<>();
        int count = Math.max(1, text("flavors", "").split(",").length);
        for (int i = 0; i < count; i++) {
            boolean routes = i < apart.length && apart[i].equals("true");
            int most = i < batch.length && !batch[i].isEmpty() ? (int) number(batch[i], "extra.batchByKind") : 1;
            kinds.add(new DestinationKind(routes, most));
        }
        List<Double> quotas = new ArrayList<>();
        for (int i = 0; i < (int) real("orgs.count", 0); i++) {
            quotas.add(real("orgs." + i + ".quotaPerS", 0));
        }
        List<Double> fees = new ArrayList<>();
        for (String fee : text("extra.zoneFee", "").split(",")) {
            if (!fee.isEmpty()) {
                fees.add(number(fee, "extra.zoneFee"));
            }
        }
        WeightPrecision rates = switch (text("weightKind", "silent")) {
            case "nominal" -> WeightPrecision.EXACT;
            case "rough" -> WeightPrecision.ROUGH;
            default -> WeightPrecision.UNKNOWN;
        };
        return new PolicySettings(
                classes,
                kinds,
                quotas,
                (int) whole("extra.callSlots", 0),
                (int) Math.min(Integer.MAX_VALUE, whole("limits.mostHeld", Integer.MAX_VALUE)),
                (int) Math.min(Integer.MAX_VALUE, whole("limits.maxAttempts", Integer.MAX_VALUE)),
                (int) whole("replicasOfMe", 1),
                (int) whole("zone", 0),
                text("extra.fades", "line").equals("halves"),
                real("overShareWorth", 1),
                flag("limits.mayCancel"),
                flag("limits.secondCopies"),
                text("discovery", "push").equals("ask"),
                rates,
                whole("limits.maxRetryAfterNs", 0),
                whole("safety.drainGraceNs", 0),
                real("safety.coldShare", 1),
                whole("safety.coldNs", 0),
                real("safety.fallMultiple", 1),
                whole("safety.fallNs", 0),
                whole("safety.keyQuietNs", 0),
                new ConnectionSettings(
                        whole("limits.connIdleNs", 0),
                        (int) Math.min(Integer.MAX_VALUE, whole("limits.multiplex", 1)),
                        whole("limits.connectTimeoutNs", 0)),
                new PriceSettings(real("prices.handshake", 0), real("prices.crossZone", 0), fees));
    }

    /** The names under {@code path.N.name}, in order. */
    public List<String> names(String path) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < (int) real(path + ".count", 0); i++) {
            names.add(text(path + "." + i + ".name", ""));
        }
        return names;
    }

    /** The parts of a list of plain values. */
    public List<String> list(String path) {
        return List.of(text(path, "").split(","));
    }

    public String text(String path, String absent) {
        String value = values.get(path);
        return value == null || value.equals("-") ? absent : value;
    }

    public double real(String path, double absent) {
        String value = text(path, "");
        return value.isEmpty() ? absent : number(value, path);
    }

    public long whole(String path, long absent) {
        String value = text(path, "");
        try {
            return value.isEmpty() ? absent : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return (long) number(value, path);
        }
    }

    public boolean flag(String path) {
        String value = text(path, "false");
        return value.equals("true") || value.equals("1");
    }

    private static double number(String value, String path) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("bad " + path + " '" + value + "'");
        }
    }
}
