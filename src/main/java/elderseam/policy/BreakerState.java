package elderseam.policy;

/** The states of a {@link CircuitBreaker}; their ordinals are stored in the snapshot and must not change. */
public enum BreakerState {
    /** Calls pass. */
    CLOSED,
    /** Nothing passes until the sleep window ends. */
    OPEN,
    /** A single trial call passes. */
    HALF_OPEN
}
