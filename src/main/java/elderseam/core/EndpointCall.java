package elderseam.core;

/** One attempt in flight. Confined to the event-loop thread. */
public interface EndpointCall {
    /**
     * Cancels the attempt; a response that has already arrived is still processed. When this method returns, the
     * listener has been notified of the end of the attempt.
     */
    void cancel();
}
