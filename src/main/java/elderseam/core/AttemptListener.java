package elderseam.core;

/** Receives the events of one attempt. Called on the event-loop thread. */
public interface AttemptListener {
    /**
     * Whether the attempt may still be sent. Called immediately before the first byte is sent: while the sender waited
     * for a connection or for the end of a pause, the endpoint may have sent a Retry-After or may have been removed
     * from the list. If false, nothing has been sent and nothing may be sent.
     */
    boolean maySend();

    /** The last byte was passed to the network: from now on the endpoint may execute the request. */
    default void written(AttemptConnection connection) {}

    /** The attempt has ended. Called exactly once. */
    void ended(AttemptOutcome outcome);

    /** Which connections may carry the attempt. */
    default ConnectionReuse connectionReuse() {
        return ConnectionReuse.SINGLE_USE;
    }

    /**
     * The attempt ended as delivered, and its response was probably that of another request. Called after {@link #ended},
     * at most once.
     */
    default void refuted() {}

    /** The size of the message's body, in bytes, if it is kept for {@link #refuted}; 0 if it is not. */
    default int retainedBytes() {
        return 0;
    }

    /** The message's body must not be kept any longer for {@link #refuted}, which may still be called. */
    default void releaseBody() {}

    /** The response to a cancelled attempt has arrived late. Called after {@link #ended}, at most once. */
    void answeredLate(AttemptOutcome outcome);
}
