package elderseam.policy;

/** What the list says of an endpoint; it says nothing of health. */
public enum EndpointStatus {
    READY,
    DRAINING,
    GONE
}
