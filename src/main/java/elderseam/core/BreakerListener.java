package elderseam.core;

/** Notified of state changes of the policy's circuit breakers. Called on the event-loop thread. */
public interface BreakerListener {
    /** Ignores all changes: for a dispatcher that is only warming up, or that is measured in an experiment. */
    BreakerListener NONE = new BreakerListener() {
        @Override
        public void opened(String breaker, String cause) {
            // ignored
        }

        @Override
        public void closed(String breaker) {
            // ignored
        }
    };

    /**
     * A breaker has opened.
     *
     * @param breaker the destination, or {@code DESTINATION/ENDPOINT} where each endpoint has its own breaker
     * @param cause why the breaker opened, with the figures that led to it
     */
    void opened(String breaker, String cause);

    /** A breaker has closed. */
    void closed(String breaker);
}
