package elderseam.fleet;

/**
 * The state of a circuit breaker as fleet-wide tasks see it: a member's own, or the one that another member reports. The
 * constants have the names of the policy's own breaker states, which are mapped by name.
 */
public enum BreakerState {
    /** Requests go out. */
    CLOSED,
    /** A recovery probe is due or in flight. */
    HALF_OPEN,
    /** No request goes out until the next probe is due. */
    OPEN
}
