package elderseam.core;

/**
 * How an attempt ended. Immutable.
 *
 * @param progress how far the attempt had come
 * @param status what the response says, or why there is none
 * @param retryAfterNs with {@link Status#OVERLOADED}, the Retry-After of the response in nanoseconds; otherwise 0
 * @param headroom the remaining part of a limit as the response reports it, 0 to 1, or 0
 * @param limitPerSecond the limit as the response reports it, in requests a second, or 0
 */
public record AttemptOutcome(
        Progress progress, Status status, long retryAfterNs, double headroom, double limitPerSecond) {
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
        OVERLOADED,
        /** The process had no free connection slot. */
        NO_SLOT,
        /** The message's deadline passed before it could be sent. */
        EXPIRED,
        /** The message ended elsewhere or was withdrawn. */
        WITHDRAWN,
        /** The connection broke. */
        BROKEN,
        TIMED_OUT,
        /** Cancelled by this process. */
        ABANDONED,
        /** This process held the attempt back at the last moment; the endpoint was never asked. */
        NOT_STARTED,
        /**
         * This machine could not begin it: no descriptor, port or buffer, no connection to spare, no record in the
         * journal. The endpoint was never asked.
         */
        LOCAL_FAILURE
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
        return status == Status.DELIVERED || status == Status.WITHDRAWN;
    }
}
