package elderseam.core;

/**
 * How an attempt ended. Immutable.
 *
 * @param progress how far the attempt had come
 * @param status what the response says, or why there is none
 * @param waitNs with {@link Status#FULL}, the Retry-After of the response in nanoseconds; otherwise 0
 * @param shareLeft the remaining share of a limit as the response reports it, or 0
 * @param limitPerS the limit as the response reports it, in requests a second, or 0
 */
public record AttemptOutcome(Progress progress, Status status, long waitNs, double shareLeft, double limitPerS) {
    /** How far an attempt had come. Handover frames hold the ordinals: constants are only ever appended. */
    public enum Progress {
        NOT_CONNECTED,
        PARTLY_WRITTEN,
        /** The last byte was written: only from here on can the endpoint have acted on it. */
        WRITTEN,
        ANSWERED
    }

    /**
     * What a response says, or why there is none. Handover frames hold the ordinals: constants are only ever
     * appended.
     */
    public enum Status {
        DELIVERED,
        /** The endpoint failed. */
        ERROR,
        /** The endpoint is overloaded, or asked for a pause. */
        FULL,
        /** The process had no free connection slot. */
        NO_SLOT,
        /** The message's time was spent before it could be sent. */
        SPENT,
        /** The message ended elsewhere or was withdrawn. */
        OVER,
        /** The connection broke. */
        BROKEN,
        TIMED_OUT,
        /** Cancelled by this process. */
        ABANDONED,
        /** This process held the attempt back; the endpoint was never asked. */
        HELD
    }

    /** The outcome of an attempt without a response. */
    public static AttemptOutcome unanswered(Progress progress, Status status) {
        return new AttemptOutcome(progress, status, 0, 0, 0);
    }

    /** Whether the endpoint may have acted on it, or may yet. */
    public boolean mayHaveRun() {
        return switch (progress) {
            case NOT_CONNECTED, PARTLY_WRITTEN -> false;
            case WRITTEN -> true;
            case ANSWERED -> status == Status.DELIVERED || status == Status.ERROR;
        };
    }

    /** Whether it completes the request: no further attempt is needed. */
    boolean completesRequest() {
        return status == Status.DELIVERED || status == Status.OVER;
    }
}
