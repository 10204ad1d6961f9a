package elderseam.core;

/** Submits its clients' requests and notifies the clients of final outcomes. Called on the event-loop thread. */
public interface Frontend {
    /** A request accepted by {@link RequestDispatcher#submit} has reached its final outcome. */
    void completed(ActiveRequest.Message message, FinalOutcome outcome);

    /** Sends pending notifications. Called after a batch of completions, before any further attempt begins. */
    default void flushNotifications() {}
}
