package elderseam.policy;

/** The actions that a policy requests from its host, which carries them out in order, at the time of the event. */
public interface PolicyActions {
    /**
     * Starts the next attempt of a request.
     *
     * @param stopAt the time at which the host gives up the attempt, in nanoseconds of its clock
     * @param sharesCall the attempt is part of the same call as the previous attempt of this turn at that endpoint
     */
    void send(String id, String endpoint, long stopAt, boolean sharesCall);

    /**
     * Cancels an attempt. Its outcome is CANCELLED, or another one if that came first.
     *
     * @param attempt the number of the attempt, from 0
     */
    void cancel(String id, int attempt);

    /**
     * Sets the final outcome to rejected: the client may safely submit the request again after {@code retryAfterNs}.
     * The host reports {@link PolicyEvents#settled} once the client has received the rejection.
     */
    void reject(String id, long retryAfterNs, GiveUpReason reason);

    /**
     * Sets the final outcome to failed: the request may have taken effect. The host reports
     * {@link PolicyEvents#settled} once the client has received the failure.
     */
    void fail(String id, GiveUpReason reason);

    /** Calls {@link PolicyEvents#timer} with the token once, at or after this many nanoseconds from now. */
    void timer(long token, long afterNs);

    /** Closes the idle connections of this sender to an endpoint. */
    void disconnect(String endpoint);

    /** Subscribes to changes of the endpoint list from now on. */
    void subscribe();

    /**
     * Reports that a circuit breaker has opened, for the log.
     *
     * @param breaker its destination, or {@code DESTINATION/ENDPOINT} if each endpoint has its own breaker
     * @param cause the reason, with the figures that led to it
     */
    void breakerOpened(String breaker, String cause);

    /** Reports that a circuit breaker has closed after a successful trial call. */
    void breakerClosed(String breaker);
}
