package elderseam.policy;

/**
 * A request that the policy is asked to deliver.
 *
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings; negative where it has none
 * @param orderKey its ordering key; -1 where it has none
 * @param deadline time of the clock after which delivery is worth nothing
 * @param repeated it was handed in before, here or to another sender, so some of its time is gone
 */
public record PolicyRequest(
        String id, int requestClass, int tenant, long orderKey, long deadline, long destination, boolean repeated) {}
