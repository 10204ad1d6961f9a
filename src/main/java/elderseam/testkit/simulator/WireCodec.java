package elderseam.testkit.simulator;

import elderseam.core.SettingsMap;
import elderseam.policy.AttemptResult;
import elderseam.policy.CompletedAttempt;
import elderseam.policy.EndpointStatus;
import elderseam.policy.LimitReport;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.PolicyRequest;
import elderseam.policy.PolicySettings;
import java.util.HashMap;
import java.util.Map;

/** Turns lines of the wire into records of the interface. */
final class WireCodec {
    private static final long NS_PER_MS = 1_000_000;
    private static final long AGAIN = 2 | 16; // handed in again; from a courier that died

    private WireCodec() {}

    static ListedEndpoint endpoint(LineFields f) {
        f.numberOr("upSinceNs", 0);
        String address = f.text("endpoint");
        EndpointStatus listing = switch (f.index("readiness", 3)) {
            case 0 -> EndpointStatus.DRAINING;
            case 1 -> EndpointStatus.GONE;
            default -> EndpointStatus.READY;
        };
        long destination = f.number("belongsTo");
        int kind = f.index("hw", Integer.MAX_VALUE);
        double weight = f.real("heft");
        int zone = f.index("regionPart", Integer.MAX_VALUE);
        f.end();
        return new ListedEndpoint(address, destination, kind, zone, listing, weight);
    }

    static ListUpdateKind listKind(LineFields f) {
        return switch (f.index("mode", 4)) {
            case 0 -> ListUpdateKind.CHANGES;
            case 1 -> ListUpdateKind.COMPLETE;
            case 2 -> ListUpdateKind.CACHED;
            default -> ListUpdateKind.FAILED;
        };
    }

    static PolicyRequest message(LineFields f) {
        String id = f.text("corr");
        int cls = f.index("cls", Integer.MAX_VALUE);
        int tenant = (int) f.numberOr("userGroup", 0);
        long key = f.numberOr("routeKey", -1);
        long deadline = f.number("giveUpAtNs");
        f.numberOr("costNs", 0);
        long destination = (long) f.real("dest");
        long flags = f.numberOr("flags", 0);
        f.end();
        return new PolicyRequest(id, cls, tenant, key, deadline, destination, (flags & AGAIN) != 0);
    }

    static CompletedAttempt outcome(LineFields f) {
        String id = f.text("corr");
        long detail = f.numberOr("detail", 0);
        String endpoint = f.text("endpoint");
        boolean over = f.flag("noMore");
        long latency = f.number("latencyNs");
        AttemptResult result = result(f);
        int attempt = f.index("attempt", Integer.MAX_VALUE);
        LimitReport report = report(f);
        f.end();
        long wait = result == AttemptResult.FULL ? detail * NS_PER_MS : 0;
        return new CompletedAttempt(
                id,
                attempt,
                endpoint,
                result,
                latency,
                wait,
                result == AttemptResult.NOT_SENT && detail == 1,
                over,
                report);
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

    private static AttemptResult result(LineFields f) {
        long code = f.number("rc");
        return switch ((int) code) {
            case 200 -> AttemptResult.DELIVERED;
            case 502 -> AttemptResult.ERROR;
            case 429 -> AttemptResult.FULL;
            case 408 -> AttemptResult.TIMEOUT;
            case 521 -> AttemptResult.CONNECT_FAILED;
            case 520 -> AttemptResult.RESET;
            case 444 -> AttemptResult.CANCELLED;
            case 409 -> AttemptResult.NOT_SENT;
            default -> throw f.fault("unknown rc " + code);
        };
    }

    private static LimitReport report(LineFields f) {
        String pairs = f.text("feedback");
        if (pairs.equals("-")) {
            return LimitReport.NONE;
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
        return new LimitReport(left, limit);
    }

    static PolicySettings settings(LineFields f) {
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
