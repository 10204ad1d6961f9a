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

/**
 * Decodes the fields of a line into the records of the policy's interface. The names of the fields in faults are the simulator's.
 * Each method reads from the current field on, and, unless it says otherwise, to the end of the line.
 */
final class WireCodec {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Bit of {@code flags}: the client sent the request before. */
    private static final long FLAG_REPEATED = 2;

    /** Bit of {@code flags}: the request comes from a dispatcher that crashed. */
    private static final long FLAG_FROM_CRASHED_DISPATCHER = 16;

    /** Value of {@code detail} of an attempt that was not sent: no slot was free. */
    private static final long DETAIL_NO_SLOT = 1;

    private static final int READINESS_COUNT = 3;
    private static final int UPDATE_MODE_COUNT = 4;
    private static final long NO_ORDER_KEY = -1;
    private static final String HEADROOM_PREFIX = "x0:";
    private static final String LIMIT_PREFIX = "x1:";

    private WireCodec() {}

    /** Decodes a row of an endpoint list. */
    static ListedEndpoint endpoint(LineFields fields) {
        fields.numberOr("upSinceNs", 0);
        String address = fields.text("endpoint");
        EndpointStatus status = switch (fields.index("readiness", READINESS_COUNT)) {
            case 0 -> EndpointStatus.DRAINING;
            case 1 -> EndpointStatus.GONE;
            default -> EndpointStatus.READY;
        };
        long destination = fields.number("belongsTo");
        int kind = fields.index("hw", Integer.MAX_VALUE);
        double weight = fields.real("heft");
        int zone = fields.index("regionPart", Integer.MAX_VALUE);
        fields.end();
        return new ListedEndpoint(address, destination, kind, zone, status, weight);
    }

    /** Reads the one field that says how an endpoint list is to be taken. */
    static ListUpdateKind updateKind(LineFields fields) {
        return switch (fields.index("mode", UPDATE_MODE_COUNT)) {
            case 0 -> ListUpdateKind.CHANGES;
            case 1 -> ListUpdateKind.COMPLETE;
            case 2 -> ListUpdateKind.CACHED;
            default -> ListUpdateKind.FAILED;
        };
    }

    /** Decodes a request of a client. */
    static PolicyRequest request(LineFields fields) {
        String requestId = fields.text("corr");
        int requestClass = fields.index("cls", Integer.MAX_VALUE);
        int tenant = (int) fields.numberOr("userGroup", 0);
        long orderKey = fields.numberOr("routeKey", NO_ORDER_KEY);
        long deadlineNanos = fields.number("giveUpAtNs");
        fields.numberOr("costNs", 0);
        long destination = (long) fields.real("dest");
        long flags = fields.numberOr("flags", 0);
        fields.end();
        boolean repeated = (flags & (FLAG_REPEATED | FLAG_FROM_CRASHED_DISPATCHER)) != 0;
        return new PolicyRequest(requestId, requestClass, tenant, orderKey, deadlineNanos, destination, repeated);
    }

    /** Decodes the result of an attempt. */
    static CompletedAttempt completedAttempt(LineFields fields) {
        String requestId = fields.text("corr");
        long detail = fields.numberOr("detail", 0);
        String endpoint = fields.text("endpoint");
        boolean requestFinished = fields.flag("noMore");
        long latencyNanos = fields.number("latencyNs");
        AttemptResult result = result(fields);
        int attempt = fields.index("attempt", Integer.MAX_VALUE);
        LimitReport limitReport = limitReport(fields);
        fields.end();
        long retryAfterNanos = result == AttemptResult.FULL ? detail * NANOS_PER_MILLI : 0;
        boolean noSlot = result == AttemptResult.NOT_SENT && detail == DETAIL_NO_SLOT;
        return new CompletedAttempt(
                requestId,
                attempt,
                endpoint,
                result,
                latencyNanos,
                retryAfterNanos,
                noSlot,
                requestFinished,
                limitReport);
    }

    /** Checks the fields of a finished health check, which the policy does not use. */
    static void checkHealthResult(LineFields fields) {
        result(fields);
        fields.number("latencyNs");
        fields.text("endpoint");
        limitReport(fields);
        fields.end();
    }

    /** Checks the fields of the first byte of a response, which the policy does not use. */
    static void checkFirstByte(LineFields fields) {
        fields.text("corr");
        fields.index("attempt", Integer.MAX_VALUE);
        fields.text("endpoint");
        fields.number("latencyNs");
        fields.end();
    }

    /** Checks the fields of a datagram between dispatchers, which the policy does not use. */
    static void checkDatagram(LineFields fields) {
        fields.number("src");
        fields.text("blob");
        fields.end();
    }

    /** Decodes the rest of the line as settings of the form {@code key=value}; other words are ignored. */
    static PolicySettings settings(LineFields fields) {
        Map<String, String> settings = new HashMap<>();
        for (String setting : fields.rest().split(" ")) {
            int equalsSign = setting.indexOf('=');
            if (equalsSign > 0) {
                settings.put(setting.substring(0, equalsSign), setting.substring(equalsSign + 1));
            }
        }
        return new SettingsMap(settings).toPolicySettings();
    }

    private static AttemptResult result(LineFields fields) {
        long code = fields.number("rc");
        return switch ((int) code) {
            case 200 -> AttemptResult.DELIVERED;
            case 502 -> AttemptResult.ERROR;
            case 429 -> AttemptResult.FULL;
            case 408 -> AttemptResult.TIMEOUT;
            case 521 -> AttemptResult.CONNECT_FAILED;
            case 520 -> AttemptResult.RESET;
            case 444 -> AttemptResult.CANCELLED;
            case 409 -> AttemptResult.NOT_SENT;
            default -> throw fields.fault("unknown rc " + code);
        };
    }

    /** Reads one field of the form {@code name:value,name:value}; names other than those of the limit are ignored. */
    private static LimitReport limitReport(LineFields fields) {
        String feedback = fields.text("feedback");
        if (LineFields.isAbsent(feedback)) {
            return LimitReport.NONE;
        }
        double headroom = 0;
        double limit = 0;
        for (String pair : feedback.split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 0) {
                throw fields.fault("bad feedback '" + pair + "'");
            }
            double value = fields.parseReal(pair.substring(colon + 1), "feedback " + pair.substring(0, colon));
            if (pair.startsWith(HEADROOM_PREFIX)) {
                headroom = value;
            } else if (pair.startsWith(LIMIT_PREFIX)) {
                limit = value;
            }
        }
        return new LimitReport(headroom, limit);
    }
}
