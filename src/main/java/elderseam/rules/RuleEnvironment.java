package elderseam.rules;

/** The dispatcher's state, for rules that read it. Called on the thread that evaluates rules. */
public interface RuleEnvironment {
    /** State of a destination's circuit breaker. */
    enum Breaker {
        CLOSED,
        HALF_OPEN,
        OPEN
    }

    /** What {@link #tenantRate} returns where the rules have to measure the rate themselves. */
    double RATE_NOT_MEASURED = -1;

    /** The destination's circuit breaker; CLOSED too where nothing is known of the destination. */
    Breaker breaker(long destination);

    /** What remains of the destination's Retry-After, in nanoseconds; 0 for none. */
    long retryAfterNs(long destination);

    /** How many attempts are in flight to the destination. */
    int attemptsInFlight(long destination);

    /** How many requests the dispatcher holds. */
    int requestsHeld();

    /** The tenant's requests a second; {@link #RATE_NOT_MEASURED} or any other value below 0 where it isn't known. */
    default double tenantRate(int tenantIndex) {
        return RATE_NOT_MEASURED;
    }

    /** The tenant's quota in requests a second; 0 for an unknown tenant. */
    double tenantQuota(int tenantIndex);
}
