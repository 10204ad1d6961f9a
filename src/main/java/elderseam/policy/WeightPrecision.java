package elderseam.policy;

/** What the weights in the endpoint list tell of the rate that a destination takes. */
public enum WeightPrecision {
    /** Nothing. */
    UNKNOWN,
    /** Calls a second, which may be off by half. */
    ROUGH,
    /** Calls a second. */
    EXACT
}
