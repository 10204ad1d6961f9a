package elderseam.policy;

/** What a policy asks of its host, which carries it out in order, at the time of the event. */
public interface PolicyActions {
    /**
     * Starts the next attempt of a request.
     *
     * @param sharesCall it is part of the same call as the attempt that was started last at that endpoint, in this turn
     */
    void send(String id, String endpoint, long stopAt, boolean sharesCall);

    /** Stops waiting for an attempt, counted from 0; it ends as CANCELLED or as it was about to. */
    void cancel(String id, int attempt);

    /**
     * Final answer: rejected; repeating the request is harmless, after {@code retryAfterNs}. The host reports {@link
     * PolicyEvents#settled} once the client has heard it.
     */
    void reject(String id, long retryAfterNs, GiveUpReason reason);

    /**
     * Final answer: failed, and it may have taken effect. The host reports {@link PolicyEvents#settled} once the client
     * has heard it.
     */
    void fail(String id, GiveUpReason reason);

    /** Calls {@link PolicyEvents#timer} with the token once, at or after this many nanoseconds from now. */
    void timer(long token, long afterNs);

    /** Closes the idle connections that this sender holds to an endpoint. */
    void disconnect(String endpoint);

    /** Subscribes to changes of the endpoint list from now on. */
    void subscribe();

    /**
     * A circuit breaker has opened: a change of state worth a line in a log.
     *
     * @param breaker its destination, or {@code DESTINATION/ENDPOINT} where routes are apart
     * @param cause why, with the figures behind it
     */
    void breakerOpened(String breaker, String cause);

    /** A circuit breaker has closed, after a trial call that succeeded. */
    void breakerClosed(String breaker);
}
