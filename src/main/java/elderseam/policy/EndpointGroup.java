package elderseam.policy;

/**
 * The endpoints that share one circuit breaker, ticket pool and rate controller: all endpoints of a destination, or a
 * single one if the destination's kind has a breaker for each endpoint. Plain state; confined to the policy's thread.
 */
final class EndpointGroup {
    /** Name in logs: the destination's number, followed by the endpoint's address if each endpoint has a breaker. */
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
            estimate.updateTypicalRate(moved);
        }
    }
}
