package elderseam.core;

/** Receives the events of one attempt. Called on the event-loop thread. */
public interface AttemptListener {
    /**
     * Asked just before bytes are sent: since the decision, time has passed for a connection or a pause, and the
     * endpoint may have sent a Retry-After or have been removed from the list. When false, nothing may be sent, and
     * nothing has been.
     */
    boolean maySend();

    /** The last byte was handed to the network: from now on the endpoint may act on it. */
    default void written() {}

    /** The attempt has ended. Called exactly once. */
    void ended(AttemptOutcome outcome);

    /** The response to a cancelled attempt arrived after all. Called after {@link #ended}, at most once. */
    void answeredLate(AttemptOutcome outcome);
}
