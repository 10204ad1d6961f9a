package elderseam.policy;

/**
 * A destination's circuit breaker as a call meets it.
 *
 * @param calls in the last 10 s
 * @param failures among these
 * @param waitNs what is left of a Retry-After, in nanoseconds
 */
public record BreakerView(BreakerState state, int calls, int failures, long waitNs) {}
