package elderseam.policy;

/**
 * The effective circuit breaker state of a destination, over all of its endpoint groups.
 *
 * @param calls number of calls in the last 10 s
 * @param failures number of failed calls in the last 10 s
 * @param waitNs remaining time of a Retry-After, in nanoseconds
 */
public record BreakerView(BreakerState state, int calls, int failures, long waitNs) {}
