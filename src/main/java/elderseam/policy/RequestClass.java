package elderseam.policy;

/**
 * A class of requests. Times are in nanoseconds since the client first submitted the request.
 *
 * @param idempotency the effect that a repeated attempt may have
 * @param keyPerZone an idempotency key is known only to the endpoints in the zone of the first attempt
 * @param ordered requests with the same ordering key are sent one at a time, in order
 * @param latencyObjectiveNs a delivery within this time has the full value
 * @param deadlineNs a delivery after this time has no value
 * @param priorityWeight the value of a delivery within the latency objective
 * @param lateWeight the share of the weight that remains at the deadline
 * @param keyWindowNs how long the destination recognizes an idempotency key, in nanoseconds from the first attempt that
 *     may have run
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
