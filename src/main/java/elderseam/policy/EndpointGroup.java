package elderseam.policy;

/**
 * The endpoints that share one circuit breaker, ticket pool and rate controller: all of a destination, or a single
 * one where the destination's routes are apart. Plain state; confined to the policy's thread.
 */
final class EndpointGroup {
    /** Named so in logs: the destination's number, with the endpoint's address where routes are apart. */
    final String name;

    final RollingWindow window = new RollingWindow();
    final RateEstimate estimate;
    final LatencyTracker latency;
    final RateController rate;
    final CircuitBreaker breaker;
    final TicketPool tickets;

    EndpointGroup(String name, int batchSize, PolicyContext context, long now) {
        this.name = name;
        this.latency = new LatencyTracker(context.latency, now);
        this.estimate = new RateEstimate(context, window);
        this.rate = new RateController(context, estimate, batchSize, now);
        this.breaker = new CircuitBreaker(name, context, rate, window);
        this.tickets = new TicketPool(context, breaker, rate, latency);
    }

    /** Moves the window to {@code now}. */
    void roll(long now) {
        int moved = window.roll(now);
        if (moved > 0 && breaker.isClosed() && !rate.warmingUp) {
            estimate.learn(moved);
        }
    }
}
