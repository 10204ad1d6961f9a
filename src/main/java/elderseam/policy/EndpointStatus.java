package elderseam.policy;

/** The status of an endpoint in the endpoint list; it is independent of the endpoint's health. */
public enum EndpointStatus {
    READY,
    DRAINING,
    GONE
}
