package elderseam.fleet;

/**
 * The state of a circuit breaker as used by fleet-wide tasks: that of the member's own breaker or one reported by
 * another member. The constants have the same names as the policy's breaker states, because these are mapped by name.
 */
public enum BreakerState {
    /** Requests are sent. */
    CLOSED,
    /** A recovery probe is due or in flight. */
    HALF_OPEN,
    /** No request is sent until the next probe is due. */
    OPEN
}
