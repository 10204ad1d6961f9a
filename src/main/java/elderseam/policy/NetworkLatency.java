package elderseam.policy;

import java.util.ArrayList;
import java.util.List;

/** Latency of the whole network, derived from the endpoint groups with recent deliveries. Not thread-safe. */
final class NetworkLatency {
    private static final long INTERVAL_NS = 100_000_000L;
    private static final long MAX_AGE_NS = RollingWindow.LENGTH_NS / 2;
    private static final double MAX_SLOWDOWN = 4;
    private static final int MIN_GROUPS = 3;
    /** Before the first answer, the baseline is the shortest latency objective divided by this number. */
    private static final double OBJECTIVE_DIVISOR = 8.0;

    private final List<LatencyTracker> active = new ArrayList<>();
    private long updatedAt = Long.MIN_VALUE / 2;

    /** Mean baseline latency of the groups in nanoseconds. */
    double baselineLatencyNs;
    /** Median ratio of recent to baseline latency over the groups, limited to 1 to 4. */
    double slowdown = 1;

    NetworkLatency(PolicySettings settings) {
        baselineLatencyNs = settings.classes().stream()
                        .mapToLong(c -> c.latencyObjectiveNs())
                        .min()
                        .orElse(0)
                / OBJECTIVE_DIVISOR;
    }

    void onDelivered(LatencyTracker group) {
        if (!active.contains(group)) {
            active.add(group);
        }
    }

    /** Recomputes the values if the last ones are at least 100 ms old; returns whether it did. */
    boolean update(long now) {
        if (now - updatedAt < INTERVAL_NS) {
            return false;
        }
        updatedAt = now;
        active.removeIf(group -> now - group.lastSuccessAt >= MAX_AGE_NS);
        baselineLatencyNs = active.stream()
                .mapToDouble(group -> group.baselineLatencyNs)
                .average()
                .orElse(baselineLatencyNs);
        double[] ratios = active.stream()
                .mapToDouble(group -> group.recentLatencyNs / group.baselineLatencyNs)
                .sorted()
                .toArray();
        slowdown = ratios.length < MIN_GROUPS ? 1 : Math.min(MAX_SLOWDOWN, Math.max(1, ratios[ratios.length / 2]));
        return true;
    }
}
