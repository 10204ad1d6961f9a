package elderseam.policy;

/**
 * Latency statistics of the delivered calls of one endpoint group: a long-term baseline and a recent mean, both
 * exponentially weighted. Not thread-safe.
 */
final class LatencyTracker {
    private static final double RECENT_WEIGHT = 0.3;
    private static final double BASELINE_WEIGHT = 0.05;
    /** A call contributes at most this multiple of the baseline to the baseline. */
    private static final double MAX_BASELINE_MULTIPLE = 3;

    private final NetworkLatency network;

    /** Long-term latency of delivered calls in nanoseconds; 0 before the first. */
    double baselineLatencyNs;
    /** Mean latency of the last few delivered calls in nanoseconds; 0 before the first. */
    double recentLatencyNs;

    long lastSuccessAt;
    /** The latest start among the delivered calls. */
    long latestDeliveredStart;
    /** Calls delivered so far. */
    long deliveredCalls;

    LatencyTracker(NetworkLatency network, long now) {
        this.network = network;
        this.lastSuccessAt = now;
        this.latestDeliveredStart = now;
    }

    /** Baseline latency in nanoseconds; before the first delivered call, that of the whole network. */
    double expectedNs() {
        return baselineLatencyNs > 0 ? baselineLatencyNs : network.baselineLatencyNs;
    }

    /** Baseline latency in nanoseconds, or the recent mean where that is higher. */
    double currentNs() {
        return Math.max(expectedNs(), recentLatencyNs);
    }

    /** Records that a call that began at {@code start} was delivered after {@code latencyNs}. */
    void onDelivered(long start, double latencyNs, long now) {
        deliveredCalls++;
        latestDeliveredStart = Math.max(latestDeliveredStart, start);
        lastSuccessAt = now;
        if (recentLatencyNs == 0) {
            recentLatencyNs = latencyNs;
        } else {
            recentLatencyNs += RECENT_WEIGHT * (latencyNs - recentLatencyNs);
        }
        if (baselineLatencyNs == 0) {
            baselineLatencyNs = latencyNs;
        } else {
            double bounded = Math.min(latencyNs, MAX_BASELINE_MULTIPLE * baselineLatencyNs);
            baselineLatencyNs += BASELINE_WEIGHT * (bounded - baselineLatencyNs);
        }
        network.onDelivered(this);
    }
}
