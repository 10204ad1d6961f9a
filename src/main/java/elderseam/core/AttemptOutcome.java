package elderseam.core;

/**
 * How an attempt ended. Immutable.
 *
 * @param progress the last stage that the attempt reached
 * @param status the result in the response, or why there is no response
 * @param retryAfterNs with {@link Status#OVERLOADED}, the Retry-After of the response in nanoseconds; otherwise 0
 * @param headroom unused fraction of a rate limit as reported in the response, 0 to 1; 0 if not reported
 * @param limitPerSecond the rate limit as reported in the response, in requests per second; 0 if not reported
 */
public record AttemptOutcome(
        Progress progress, Status status, long retryAfterNs, double headroom, double limitPerSecond) {
    /** The last stage that an attempt reached. Handover frames contain the ordinals: only append constants. */
    public enum Progress {
        NOT_CONNECTED,
        PARTLY_WRITTEN,
        /** The last byte was written: the endpoint can have executed the request only from this stage on. */
        WRITTEN,
        ANSWERED
    }

    /**
     * The result in a response, or why there is no response. Handover frames contain the ordinals: only append
     * constants.
     */
    public enum Status {
        DELIVERED,
        /** The endpoint responded with an error. */
        ERROR,
        /** The endpoint reported overload or sent a Retry-After. */
        OVERLOADED,
        /** The process had no free connection slot. */
        NO_SLOT,
        /** The message's deadline passed before it could be sent. */
        EXPIRED,
        /** The message was completed elsewhere or was withdrawn. */
        WITHDRAWN,
        /** The connection broke. */
        BROKEN,
        TIMED_OUT,
        /** Cancelled by this process. */
        ABANDONED,
        /** This process cancelled the attempt before sending any byte; the endpoint was not contacted. */
        NOT_STARTED,
        /**
         * This machine could not begin the attempt: no file descriptor, port, buffer or spare connection was
         * available, or the journal could not record the attempt. The endpoint was not contacted.
         */
        LOCAL_FAILURE
    }

    /** Returns the outcome of an attempt without a response. */
    public static AttemptOutcome unanswered(Progress progress, Status status) {
        return new AttemptOutcome(progress, status, 0, 0, 0);
    }

    /** Whether the endpoint may have executed the request, or may still do so. */
    public boolean mayHaveRun() {
        return switch (progress) {
            case NOT_CONNECTED, PARTLY_WRITTEN -> false;
            case WRITTEN -> true;
            case ANSWERED -> status == Status.DELIVERED || status == Status.ERROR;
        };
    }

    /** Whether this outcome completes the request, so that no further attempt is needed. */
    boolean completesRequest() {
        return status == Status.DELIVERED || status == Status.WITHDRAWN;
    }
}
