package elderseam.core;

/** The result of an operator's command to drain an endpoint or to cancel its drain. */
public enum DrainResult {
    APPLIED,
    /** The endpoint is not on the endpoint list and was not recently removed from it. */
    UNKNOWN_ENDPOINT,
    /** The maximum number of endpoints is drained, or the journal has no capacity. */
    NO_CAPACITY
}
