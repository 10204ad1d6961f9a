package elderseam.core;

/** The side that took a stream on, and owes its client the final answer. */
public interface Front {
    /** The stream has ended, after {@link Relay#take} had taken it on. */
    void ended(Stream.Message message, Answer answer);

    /** No further stream ends just now: what its clients are to hear may leave, before any call that begins. */
    default void tell() {}
}
