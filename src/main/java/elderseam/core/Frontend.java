package elderseam.core;

/** The side that accepted a request and owes its client the final outcome. Called on the event-loop thread. */
public interface Frontend {
    /** A request that {@link RequestDispatcher#submit} had accepted has its final outcome. */
    void completed(ActiveRequest.Message message, FinalOutcome outcome);

    /** No further request completes just now: pending notifications may be sent, before any attempt that begins. */
    default void flushNotifications() {}
}
