package elderseam.policy;

/**
 * A class of request. Times are nanoseconds since the client first handed the request in.
 *
 * @param idempotency what a repeated attempt may do
 * @param keyPerZone a key is known only to the endpoints in the zone of the first attempt
 * @param ordered requests with the same ordering key go one after another
 * @param latencyObjectiveNs delivery within this time is worth the full weight
 * @param deadlineNs delivery after this time is worth nothing
 * @param priorityWeight what delivery within the objective is worth
 * @param lateWeight the part of the weight that is left at the deadline
 * @param keyWindowNs how long the destination knows an idempotency key
 */
public record RequestClass(
        Idempotency idempotency,
        boolean keyPerZone,
        boolean ordered,
        long latencyObjectiveNs,
        long deadlineNs,
        double priorityWeight,
        double lateWeight,
        long keyWindowNs) {}
