package elderseam.policy;

/** The result of an attempt or a health check. */
public enum AttemptResult {
    DELIVERED(false),
    ERROR(false),
    /** The destination answered that its capacity is exhausted. */
    FULL(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    /** The policy cancelled the attempt. */
    CANCELLED(false),
    /** The host did not send the attempt. */
    NOT_SENT(true),
    /** The host's machine could not send the attempt because it lacks a resource that other attempts need too. */
    LOCAL_FAILURE(true);

    /** Whether this result proves that the destination did not process the attempt. */
    public final boolean neverRan;

    AttemptResult(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
