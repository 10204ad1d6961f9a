package elderseam.policy;

/** How an attempt or a health check ended. */
public enum AttemptResult {
    DELIVERED(false),
    ERROR(false),
    /** The destination answered that it is full. */
    FULL(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    /** The policy cancelled it. */
    CANCELLED(false),
    /** The host did not send it. */
    NOT_SENT(true),
    /** The host's machine could not send it, for want of something that other attempts lack as well. */
    LOCAL_FAILURE(true);

    /** True if this result proves that the destination never acted on the attempt. */
    public final boolean neverRan;

    AttemptResult(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
