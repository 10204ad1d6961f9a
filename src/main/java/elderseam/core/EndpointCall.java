package elderseam.core;

/** One attempt in flight. Confined to the event-loop thread. */
public interface EndpointCall {
    /**
     * Stops waiting; a response that has already arrived still counts. Before this returns, the listener has been
     * notified of the attempt's end unless it had been before.
     */
    void cancel();
}
