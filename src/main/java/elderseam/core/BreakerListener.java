package elderseam.core;

/** Told of changes of the policy's circuit breakers, on the event-loop thread. */
public interface BreakerListener {
    /** Ignores them: for a dispatcher that only warms up, or that an experiment measures. */
    BreakerListener NONE = new BreakerListener() {
        @Override
        public void opened(String breaker, String cause) {
            // not of interest
        }

        @Override
        public void closed(String breaker) {
            // not of interest
        }
    };

    /**
     * A breaker has opened.
     *
     * @param breaker its destination, or {@code DESTINATION/ENDPOINT} where routes are apart
     * @param cause why, with the figures behind it
     */
    void opened(String breaker, String cause);

    /** A breaker has closed. */
    void closed(String breaker);
}
