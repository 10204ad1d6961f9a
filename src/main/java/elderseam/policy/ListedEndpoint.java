package elderseam.policy;

/**
 * An endpoint as listed.
 *
 * @param destination number of the destination that it serves
 * @param kind index of the destination's kind in the settings
 * @param weight calls a second that its destination, or its route, takes from all senders together; how precise it is,
 *     {@link PolicySettings#weightPrecision} tells
 */
public record ListedEndpoint(
        String address, long destination, int kind, int zone, EndpointStatus status, double weight) {}
