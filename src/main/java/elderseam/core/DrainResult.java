package elderseam.core;

/** What came of an operator's request to drain an endpoint or to end its drain. */
public enum DrainResult {
    APPLIED,
    /** The endpoint is not, and was not lately, on the list. */
    UNKNOWN_ENDPOINT,
    /** Too many endpoints are drained, or the journal has no capacity. */
    NO_CAPACITY
}
