package elderseam.policy;

/**
 * An entry of the endpoint list.
 *
 * @param destination number of the destination that it serves
 * @param kind index of the destination's kind in the settings
 * @param weight capacity of its destination or route in calls per second from all senders together; its precision is
 *     given by {@link PolicySettings#weightPrecision}
 */
public record ListedEndpoint(
        String address, long destination, int kind, int zone, EndpointStatus status, double weight) {}
