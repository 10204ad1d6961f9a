package elderseam.gossip;

/**
 * The state of this member's own circuit breaker for a destination, from which its health reports are created.
 *
 * @param retryAfterMs time left of the destination's Retry-After, in milliseconds; 0 for none
 * @param calls calls made in the last {@link HealthReport#WINDOW_MS} milliseconds
 * @param failures how many of {@code calls} failed
 */
public record OwnBreaker(long destination, HealthReport.State state, int retryAfterMs, int calls, int failures) {}
