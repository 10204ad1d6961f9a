package elderseam.policy;

/** How precisely the weights in the endpoint list give the rate that a destination can serve. */
public enum WeightPrecision {
    /** The weights are no indication of the rate. */
    UNKNOWN,
    /** The weights are calls per second, with an error of up to one half. */
    ROUGH,
    /** The weights are exact, in calls per second. */
    EXACT
}
