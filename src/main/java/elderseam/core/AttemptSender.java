package elderseam.core;

/** Sends attempts to endpoints. Called on the event-loop thread. */
public interface AttemptSender {
    /**
     * Begins an attempt that must be connected by {@code connectBy} and answered by {@code answerBy}, both of
     * {@link Clock#now}. The listener is never called from within this method.
     */
    EndpointCall send(
            ActiveRequest.Message message, String endpoint, long connectBy, long answerBy, AttemptListener listener);

    /** Closes the idle connections to an endpoint. */
    void closeIdle(String endpoint);
}
