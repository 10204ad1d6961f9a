package elderseam.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The tickets of one endpoint group. Each call in flight holds one, so that no group occupies all slots of the
 * sender. There are {@link #capacity} tickets while the breaker is closed, one while it is half-open and none while
 * it is open. Confined to the policy's thread.
 */
final class TicketPool {
    private static final double SLOW_MULTIPLE = 3; // of the expected latency, above which the group gets fewer tickets

    final List<AttemptRecord> inFlight = new ArrayList<>(); // calls that hold a ticket, oldest first
    int overdue; // number of overdue calls, as of the last turn
    long overdueAfterNs; // age at which a new call becomes overdue, as of the last turn
    private final PolicyContext context;
    private final CircuitBreaker breaker;
    private final RateController rate;
    private final LatencyTracker latency;

    TicketPool(PolicyContext context, CircuitBreaker breaker, RateController rate, LatencyTracker latency) {
        this.context = context;
        this.breaker = breaker;
        this.rate = rate;
        this.latency = latency;
    }

    /** Maximum number of calls in flight over all groups of a destination: three quarters of the sender's slots. */
    static int maxPerDestination(PolicySettings settings) {
        return Math.max(1, settings.slots() * 3 / 4);
    }

    /**
     * Number of tickets while the breaker is closed: three quarters of the slots, or a quarter while failing or slow.
     */
    int capacity() {
        boolean slow = latency.recentLatencyNs > SLOW_MULTIPLE * context.latency.slowdown * latency.expectedNs();
        boolean impaired = slow || 2 * overdue > inFlight.size() || breaker.consecutiveFailures > 1;
        return impaired ? Math.max(1, context.settings.slots() / 4) : maxPerDestination(context.settings);
    }

    boolean isExhausted() {
        return inFlight.size() >= capacity();
    }

    /** Whether a call may begin now. */
    boolean isAvailable(long now) {
        if (rate.isPaused(now)) {
            return false;
        }
        if (breaker.isHalfOpen()) {
            return breaker.trial == null;
        }
        return breaker.isClosed() && !isExhausted() && rate.hasToken();
    }

    /** The earliest start of the next call if no outcome arrives before. */
    long availableAt(long now) {
        long from = breaker.state == BreakerState.OPEN ? breaker.openUntil : now;
        return rate.availableAt(from, breaker.isClosed(), now);
    }

    /** Acquires a ticket, and a token of the rate limit unless half-open, for a call that begins now. */
    void acquire(AttemptRecord call, long now) {
        addInFlight(call);
        call.endpoint.batch = call;
        if (!breaker.isHalfOpen()) {
            rate.consumeToken(now);
        }
    }

    /**
     * Counts a call as in flight, including one handed over by another process of this sender. While the breaker is
     * half-open, the first such call is the trial call.
     */
    void addInFlight(AttemptRecord call) {
        inFlight.add(call);
        call.endpoint.inFlight++;
        context.inFlight++;
        if (breaker.isHalfOpen() && breaker.trial == null) {
            breaker.trial = call;
        }
    }

    void release(AttemptRecord call) {
        inFlight.remove(call);
        call.endpoint.inFlight--;
        context.inFlight--;
        if (breaker.trial == call) {
            breaker.trial = null;
        }
    }
}
