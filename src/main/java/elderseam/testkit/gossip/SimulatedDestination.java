package elderseam.testkit.gossip;

import elderseam.policy.AttemptResult;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A destination that all simulated dispatchers share: it has a capacity in calls a second, outages, and a cold start after each
 * outage, during which its capacity begins at a fraction and grows. If it is called too often while cold, it fails again.
 */
final class SimulatedDestination {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;

    /** The capacity right after an outage, as a share of the full one. */
    static final double COLD_SHARE = 0.25;

    /** The call rate that overloads the destination, as a multiple of its present capacity. */
    static final double OVERLOAD_MULTIPLE = 2;

    /** How long the capacity takes to grow back after an outage. */
    static final long WARM_UP_NS = 10 * SECOND;

    /** How long a destination stays down that was overloaded while cold. */
    static final long OVERLOAD_OUTAGE_NS = 2 * SECOND;

    private static final long MEAN_LATENCY_NS = 40 * MS;
    private static final long REFUSAL_LATENCY_NS = MS;
    private static final long ERROR_LATENCY_NS = 10 * MS;
    private static final long FULL_LATENCY_NS = 5 * MS;
    private static final long RETRY_AFTER_NS = 500 * MS;
    private static final double BURST_CALLS = 8; // simultaneous calls that are no overload: arrivals are random
    private static final double NORMAL_ERROR_RATE = 0.01;
    private static final double DEGRADED_ERROR_RATE = 0.2;

    /** How calls fail in an outage. */
    enum Fault {
        REFUSES,
        HANGS,
        ERRORS
    }

    /** A planned outage, up to and without {@code endNs}. */
    record Outage(long startNs, long endNs, Fault fault) {
        boolean covers(long now) {
            return now >= startNs && now < endNs;
        }
    }

    /**
     * The answer to a call.
     *
     * @param latencyNs from the start of the call to the answer
     * @param retryAfterNs the Retry-After that comes with it, 0 for none
     */
    record Reply(AttemptResult result, long latencyNs, long retryAfterNs) {
        static Reply of(AttemptResult result, long latencyNs) {
            return new Reply(result, latencyNs, 0);
        }
    }

    final long id;
    final double callsPerSecond; // full capacity
    private final List<Outage> outages;
    private final long seed;
    private double excessCalls; // a leaky bucket that drains at the overload rate
    private long excessUpdatedNs;
    private long overloadOutageEndNs;
    private long warmUpStartNs = Long.MIN_VALUE / 2;
    private long retryAfterEndNs;
    private long degradedStartNs;
    private long degradedEndNs;
    private Outage lastOutage; // of which the warm-up has not begun; null: none
    private int overloadFailures;
    private int callsWhileDown;

    SimulatedDestination(long id, double callsPerSecond, List<Outage> outages, long seed) {
        this.id = id;
        this.callsPerSecond = callsPerSecond;
        this.outages = outages;
        this.seed = seed;
    }

    /** Makes a fifth of the calls fail in that time. */
    void degrade(long startNs, long endNs) {
        degradedStartNs = startNs;
        degradedEndNs = endNs;
    }

    /** How often it failed because it was overloaded while cold. */
    int overloadFailures() {
        return overloadFailures;
    }

    /** Calls during planned outages. */
    int callsWhileDown() {
        return callsWhileDown;
    }

    /**
     * Answers a call that begins now. Its random part depends on the message and the attempt alone, so that it is the same with
     * gossip on and off.
     *
     * @param timeoutNs how long the caller waits at most
     */
    Reply call(String message, int attempt, long now, long timeoutNs) {
        Outage outage = currentOutage(now);
        if (outage != null) {
            lastOutage = outage;
            callsWhileDown++;
            return replyInOutage(outage.fault, timeoutNs);
        }
        if (lastOutage != null) {
            warmUpStartNs = lastOutage.endNs;
            lastOutage = null;
        }
        if (now < overloadOutageEndNs) {
            return Reply.of(AttemptResult.ERROR, ERROR_LATENCY_NS);
        }
        boolean overloaded = addToExcess(now);
        if (overloaded && now - warmUpStartNs < WARM_UP_NS) {
            failFromOverload(now);
            return Reply.of(AttemptResult.ERROR, ERROR_LATENCY_NS);
        }
        SplittableRandom random = new SplittableRandom(seed ^ 31L * message.hashCode() + attempt);
        if (random.nextDouble() < errorRate(now)) {
            return Reply.of(AttemptResult.ERROR, ERROR_LATENCY_NS);
        }
        if (overloaded || now < retryAfterEndNs) {
            retryAfterEndNs = Math.max(retryAfterEndNs, now + RETRY_AFTER_NS);
            return new Reply(AttemptResult.FULL, FULL_LATENCY_NS, retryAfterEndNs - now);
        }
        return Reply.of(AttemptResult.DELIVERED, (long) (MEAN_LATENCY_NS * (0.5 + random.nextDouble())));
    }

    private Outage currentOutage(long now) {
        for (Outage outage : outages) {
            if (outage.covers(now)) {
                return outage;
            }
        }
        return null;
    }

    private static Reply replyInOutage(Fault fault, long timeoutNs) {
        return switch (fault) {
            case REFUSES -> Reply.of(AttemptResult.CONNECT_FAILED, REFUSAL_LATENCY_NS);
            case HANGS -> Reply.of(AttemptResult.TIMEOUT, timeoutNs);
            case ERRORS -> Reply.of(AttemptResult.ERROR, ERROR_LATENCY_NS);
        };
    }

    private double errorRate(long now) {
        boolean degraded = now >= degradedStartNs && now < degradedEndNs;
        return degraded ? DEGRADED_ERROR_RATE : NORMAL_ERROR_RATE;
    }

    /** Adds one call to the excess; whether the destination is overloaded by it. */
    private boolean addToExcess(long now) {
        double overloadRate = OVERLOAD_MULTIPLE * currentCapacity(now);
        double drained = (now - excessUpdatedNs) / (double) SECOND * overloadRate;
        excessCalls = Math.max(0, excessCalls - drained) + 1;
        excessUpdatedNs = now;
        return excessCalls > Math.max(BURST_CALLS, overloadRate);
    }

    /** The present capacity in calls a second. */
    private double currentCapacity(long now) {
        double warmth = Math.min(1, (double) (now - warmUpStartNs) / WARM_UP_NS);
        return callsPerSecond * (COLD_SHARE + (1 - COLD_SHARE) * warmth);
    }

    private void failFromOverload(long now) {
        overloadFailures++;
        overloadOutageEndNs = now + OVERLOAD_OUTAGE_NS;
        warmUpStartNs = overloadOutageEndNs;
        excessCalls = 0;
    }
}
