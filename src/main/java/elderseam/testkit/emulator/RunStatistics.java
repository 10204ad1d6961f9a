package elderseam.testkit.emulator;

import elderseam.core.AttemptOutcome;
import elderseam.core.FinalOutcome;
import elderseam.policy.RequestClass;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What a run came to: service, latencies by class, refusals, calls; by the second where messages were born. */
public final class RunStatistics implements WorldListener {
    private static final long S = 1_000_000_000L;
    private static final long MS = 1_000_000L;
    private static final int WORST_S = 10;

    private final double[] possible;
    private final double[] worth;
    private final int[] refusedAt;
    private final int[] callsAt;
    private final int[] failedAt;
    private final Histogram[] latency = new Histogram[3];
    private int messages;
    private int delivered;
    private int refused;
    private int failed;
    private int lost;
    private int handed;
    private int calls;
    private int failedCalls;
    private int callsInTrouble;
    private final Map<Long, Integer> troubled = new HashMap<>();
    private final Map<String, Map<Integer, Long>> connected =
            new HashMap<>(); // by endpoint and dispatcher: until when at least
    private final Map<Long, Map<String, Integer>> byEndpoint = new HashMap<>();
    private int connections;
    private int mostConnected;

    public RunStatistics(Scenario plan) {
        int n = (int) Math.ceil(plan.seconds()) + 60;
        possible = new double[n];
        worth = new double[n];
        refusedAt = new int[n];
        callsAt = new int[n];
        failedAt = new int[n];
        for (int i = 0; i < 3; i++) {
            latency[i] = new Histogram(60_000_000, 3); // microseconds up to a minute
        }
    }

    private int second(long at) {
        return (int) Math.min(possible.length - 1, at / S);
    }

    @Override
    public void handedIn(long now, Msg m, boolean again) {
        handed++;
        if (!again) {
            messages++;
            possible[second(m.born())] += Policies.CLASSES.get(m.cls()).priorityWeight();
        }
    }

    @Override
    public void answered(long now, Msg m, FinalOutcome answer) {
        if (answer.kind() == FinalOutcome.Kind.REJECTED) {
            refusedAt[second(now)]++;
        }
    }

    @Override
    public void over(long now, Msg m, FinalOutcome.Kind kind) {
        if (kind == null) {
            lost++;
            return;
        }
        switch (kind) {
            case DELIVERED -> {
                delivered++;
                latency[m.cls()].recordValue(Math.min(60_000_000, Math.max(1, (now - m.born()) / 1_000)));
                worth[second(m.born())] += worth(Policies.CLASSES.get(m.cls()), now - m.born());
            }
            case REJECTED -> refused++;
            default -> failed++;
        }
    }

    /** In time all of it; later half for each further aim, and no less than what is left at the deadline. */
    private static double worth(RequestClass c, long took) {
        double late = Math.max(0, (double) (took - c.latencyObjectiveNs()) / c.latencyObjectiveNs());
        return took > c.deadlineNs() + 100 * MS
                ? 0
                : c.priorityWeight() * Math.max(c.lateWeight(), Math.pow(0.5, late));
    }

    @Override
    public void connects(long now, int dispatcher, String endpoint, long until) {
        connections++;
        Map<Integer, Long> there = connected.computeIfAbsent(endpoint, e -> new HashMap<>());
        there.values().removeIf(t -> t < now);
        there.put(dispatcher, until);
        mostConnected = Math.max(mostConnected, there.size());
    }

    @Override
    public void called(long now, int dispatcher, Msg m, String endpoint) {
        calls++;
        byEndpoint.computeIfAbsent(m.destination(), d -> new HashMap<>()).merge(endpoint, 1, Integer::sum);
        callsAt[second(now)]++;
        callsInTrouble += troubled.containsKey(m.destination()) ? 1 : 0;
    }

    @Override
    public void ended(long now, int dispatcher, Msg m, String endpoint, AttemptOutcome end) {
        if (end.status() != AttemptOutcome.Status.DELIVERED && end.status() != AttemptOutcome.Status.OVERLOADED) {
            failedCalls++;
            failedAt[second(now)]++;
        }
    }

    @Override
    public void trouble(long now, long destination, boolean begins) {
        if (begins) {
            troubled.merge(destination, 1, Integer::sum);
        } else {
            troubled.merge(destination, -1, (a, b) -> a + b == 0 ? null : a + b);
        }
    }

    /** Worth of what was delivered, of what could have been. */
    public double service() {
        return sum(worth, 0, worth.length) / Math.max(1e-9, sum(possible, 0, possible.length));
    }

    /** The same of the ten seconds that came off worst, of those with a tenth of the usual messages or more. */
    public double worst() {
        double worst = 1;
        double usual = sum(possible, 0, possible.length) / possible.length * WORST_S;
        for (int i = 0; i + WORST_S <= possible.length; i++) {
            double p = sum(possible, i, i + WORST_S);
            worst = p > usual / 10 ? Math.min(worst, sum(worth, i, i + WORST_S) / p) : worst;
        }
        return worst;
    }

    private static double sum(double[] of, int from, int to) {
        double s = 0;
        for (int i = from; i < to; i++) {
            s += of[i];
        }
        return s;
    }

    /** Service of each second; NaN where nothing was handed in. */
    public double[] series() {
        double[] all = new double[possible.length];
        for (int i = 0; i < all.length; i++) {
            all[i] = possible[i] == 0 ? Double.NaN : worth[i] / possible[i];
        }
        return all;
    }

    public int[] refusals() {
        return refusedAt.clone();
    }

    public int[] callsASecond() {
        return callsAt.clone();
    }

    public int[] failedASecond() {
        return failedAt.clone();
    }

    public Histogram latency(int cls) {
        return latency[cls];
    }

    /** The most calls at an endpoint over the mean of its destination, over all destinations by their calls. */
    private double unevenness() {
        double sum = 0;
        double weight = 0;
        for (Map<String, Integer> of : byEndpoint.values()) {
            int all = of.values().stream().mapToInt(n -> n).sum();
            sum += (double) of.values().stream().mapToInt(n -> n).max().orElse(0) * of.size();
            weight += all;
        }
        return weight == 0 ? 1 : sum / weight;
    }

    /** Figures by name, in a fixed order. */
    public Map<String, Double> figures() {
        Map<String, Double> all = new java.util.LinkedHashMap<>();
        all.put("service", service());
        all.put("worst_10s", worst());
        all.put("messages", (double) messages);
        all.put("delivered", (double) delivered);
        all.put("refused", (double) refused);
        all.put("failed", (double) failed);
        all.put("lost", (double) lost);
        all.put("handed_in", (double) handed);
        all.put("calls", (double) calls);
        all.put("failed_calls", (double) failedCalls);
        all.put("calls_in_trouble", (double) callsInTrouble);
        all.put("connections", (double) connections);
        all.put("most_dispatchers_at_endpoint", (double) mostConnected);
        all.put("endpoint_max_over_mean", unevenness());
        for (int i = 0; i < 3; i++) {
            for (double p : new double[] {50, 99, 99.9}) {
                all.put(
                        Policies.CLASS_NAMES.get(i) + "_p" + (p == 99.9 ? "99_9" : Integer.toString((int) p)) + "_ms",
                        latency[i].getValueAtPercentile(p) / 1_000.0);
            }
        }
        return all;
    }
}
