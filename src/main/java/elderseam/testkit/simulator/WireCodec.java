package elderseam.testkit.simulator;

import elderseam.core.SettingsMap;
import elderseam.policy.Sender;
import elderseam.policy.Sender.ListKind;
import elderseam.policy.Sender.Listing;
import elderseam.policy.Sender.Report;
import elderseam.policy.Sender.Result;
import java.util.HashMap;
import java.util.Map;

/** Turns lines of the wire into records of the interface. */
final class WireCodec {
    private static final long NS_PER_MS = 1_000_000;
    private static final long AGAIN = 2 | 16; // handed in again; from a courier that died

    private WireCodec() {}

    static Sender.Endpoint endpoint(LineFields f) {
        f.numberOr("upSinceNs", 0);
        String address = f.text("endpoint");
        Listing listing = switch (f.index("readiness", 3)) {
            case 0 -> Listing.DRAINING;
            case 1 -> Listing.GONE;
            default -> Listing.READY;
        };
        long destination = f.number("belongsTo");
        int kind = f.index("hw", Integer.MAX_VALUE);
        double weight = f.real("heft");
        int zone = f.index("regionPart", Integer.MAX_VALUE);
        f.end();
        return new Sender.Endpoint(address, destination, kind, zone, listing, weight);
    }

    static ListKind listKind(LineFields f) {
        return switch (f.index("mode", 4)) {
            case 0 -> ListKind.CHANGES;
            case 1 -> ListKind.WHOLE;
            case 2 -> ListKind.CACHED;
            default -> ListKind.FAILED;
        };
    }

    static Sender.Message message(LineFields f) {
        String id = f.text("corr");
        int cls = f.index("cls", Integer.MAX_VALUE);
        int tenant = (int) f.numberOr("userGroup", 0);
        long key = f.numberOr("routeKey", -1);
        long deadline = f.number("giveUpAtNs");
        f.numberOr("costNs", 0);
        long destination = (long) f.real("dest");
        long flags = f.numberOr("flags", 0);
        f.end();
        return new Sender.Message(id, cls, tenant, key, deadline, destination, (flags & AGAIN) != 0);
    }

    static Sender.Outcome outcome(LineFields f) {
        String id = f.text("corr");
        long detail = f.numberOr("detail", 0);
        String endpoint = f.text("endpoint");
        boolean over = f.flag("noMore");
        long latency = f.number("latencyNs");
        Result result = result(f);
        int attempt = f.index("attempt", Integer.MAX_VALUE);
        Report report = report(f);
        f.end();
        long wait = result == Result.FULL ? detail * NS_PER_MS : 0;
        return new Sender.Outcome(
                id, attempt, endpoint, result, latency, wait, result == Result.NOT_SENT && detail == 1, over, report);
    }

    static void checked(LineFields f) {
        result(f);
        f.number("latencyNs");
        f.text("endpoint");
        report(f);
        f.end();
    }

    static void firstByte(LineFields f) {
        f.text("corr");
        f.index("attempt", Integer.MAX_VALUE);
        f.text("endpoint");
        f.number("latencyNs");
        f.end();
    }

    private static Result result(LineFields f) {
        long code = f.number("rc");
        return switch ((int) code) {
            case 200 -> Result.DELIVERED;
            case 502 -> Result.ERROR;
            case 429 -> Result.FULL;
            case 408 -> Result.TIMEOUT;
            case 521 -> Result.CONNECT_FAILED;
            case 520 -> Result.RESET;
            case 444 -> Result.CANCELLED;
            case 409 -> Result.NOT_SENT;
            default -> throw f.fault("unknown rc " + code);
        };
    }

    private static Report report(LineFields f) {
        String pairs = f.text("feedback");
        if (pairs.equals("-")) {
            return Report.NONE;
        }
        double left = 0;
        double limit = 0;
        for (String pair : pairs.split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 0) {
                throw f.fault("bad feedback '" + pair + "'");
            }
            double value = f.real(pair.substring(colon + 1), "feedback " + pair.substring(0, colon));
            if (pair.startsWith("x0:")) {
                left = value;
            } else if (pair.startsWith("x1:")) {
                limit = value;
            }
        }
        return new Report(left, limit);
    }

    static Sender.Settings settings(LineFields f) {
        Map<String, String> map = new HashMap<>();
        for (String pair : f.rest().split(" ")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                map.put(pair.substring(0, eq), pair.substring(eq + 1));
            }
        }
        return new SettingsMap(map).settings();
    }
}
