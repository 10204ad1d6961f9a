package elderseam.frontend.cloudevents;

import elderseam.core.FinalOutcome;

/**
 * What the sender of an event is told.
 *
 * @param code HTTP status
 * @param status one of {@code delivered}, {@code refused}, {@code failed} and {@code invalid}
 * @param retryAfterS seconds after which a rejected event may be sent again, else 0
 * @param reason what is wrong with an invalid event, or why it was rejected; may be empty
 */
record EventResult(int code, String status, long retryAfterS, String reason) {
    private static final long NS_PER_SECOND = 1_000_000_000L;

    static EventResult of(FinalOutcome outcome) {
        return switch (outcome.kind()) {
            case DELIVERED -> new EventResult(200, "delivered", 0, "");
            case REJECTED -> rejected(Math.max(1, roundedUpToSeconds(outcome.retryAfterNs())), "");
            case FAILED, WITHDRAWN -> new EventResult(502, "failed", 0, "");
        };
    }

    static EventResult rejected(long retryAfterS, String reason) {
        return new EventResult(503, "refused", retryAfterS, reason);
    }

    static EventResult invalid(int code, String reason) {
        return new EventResult(code, "invalid", 0, reason);
    }

    private static long roundedUpToSeconds(long ns) {
        return (ns + NS_PER_SECOND - 1) / NS_PER_SECOND;
    }
}
