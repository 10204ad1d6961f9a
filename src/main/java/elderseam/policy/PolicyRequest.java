package elderseam.policy;

/**
 * A request to be delivered by the policy.
 *
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings; negative if it has none
 * @param orderKey its ordering key; -1 if it has none
 * @param deadline time of the host's clock, in nanoseconds, after which a delivery has no value
 * @param repeated the client submitted it before, here or to another sender, so part of its time has passed
 */
public record PolicyRequest(
        String id, int requestClass, int tenant, long orderKey, long deadline, long destination, boolean repeated) {}
