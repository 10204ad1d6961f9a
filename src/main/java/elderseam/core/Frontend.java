package elderseam.core;

/** The side that took a stream on, and owes its client the final answer. */
public interface Frontend {
    /** The stream has ended, after {@link RequestDispatcher#take} had taken it on. */
    void ended(ActiveRequest.Message message, FinalOutcome answer);

    /** No further stream ends just now: what its clients are to hear may leave, before any call that begins. */
    default void tell() {}
}
