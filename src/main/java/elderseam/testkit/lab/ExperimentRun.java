package elderseam.testkit.lab;

import elderseam.core.JsonValue;
import elderseam.policy.BreakerState;
import elderseam.policy.BreakerView;
import elderseam.testkit.emulator.EmulatedWorld;
import elderseam.testkit.emulator.Policies;
import elderseam.testkit.emulator.RuleCheckers;
import elderseam.testkit.emulator.RunStatistics;
import elderseam.testkit.emulator.Scenario;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleConsumer;

/**
 * One run of one plan with one policy and one seed, and all that it came to.
 *
 * @param breakers of each destination that ever had a breaker open: by second 0 closed, 1 trying, 2 open, the worst of all dispatchers
 */
public record ExperimentRun(
        String policy,
        long seed,
        Map<String, Double> figures,
        Map<String, Integer> broken,
        String words,
        double[] series,
        int[] refusals,
        int[] calls,
        int[] failed,
        Map<Long, byte[]> breakers,
        Map<String, double[]> latencies) {
    private static final long S = 1_000_000_000L;
    private static final int MOST_TIMELINES = 200;
    static final double[] PERCENTILES = {1, 10, 25, 50, 75, 90, 95, 99, 99.9, 99.99, 100};

    public static ExperimentRun of(Scenario plan, String policy, long seed, DoubleConsumer progress) {
        RunStatistics tally = new RunStatistics(plan);
        RuleCheckers checkers = new RuleCheckers(plan.fleet().slots());
        EmulatedWorld world = new EmulatedWorld(plan, policy, seed, List.of(tally, checkers));
        int seconds = (int) Math.ceil(plan.seconds());
        Map<Long, byte[]> lines = new HashMap<>();
        for (int s = 0; s < seconds; s++) {
            int at = s;
            world.time().at(s * S, () -> world.breakers((d, b) -> look(lines, d, b, at, seconds)));
        }
        world.run(progress);
        Map<String, Double> figures = tally.figures();
        figures.put("felled", (double) checkers.felled());
        Map<String, Integer> broken = new TreeMap<>();
        checkers.broken().forEach((rule, n) -> broken.put(rule.wireName(), n));
        figures.put("broken", (double) broken.values().stream().mapToInt(n -> n).sum());
        Map<Long, byte[]> open = new TreeMap<>();
        lines.forEach((d, line) -> {
            if (open.size() < MOST_TIMELINES && has(line)) {
                open.put(d, line);
            }
        });
        Map<String, double[]> latencies = new LinkedHashMap<>();
        for (int c = 0; c < 3; c++) {
            double[] at = new double[PERCENTILES.length];
            for (int i = 0; i < at.length; i++) {
                at[i] = tally.latency(c).getValueAtPercentile(PERCENTILES[i]) / 1_000.0;
            }
            latencies.put(Policies.CLASS_NAMES.get(c), at);
        }
        return new ExperimentRun(
                policy,
                seed,
                figures,
                broken,
                checkers.words(),
                cut(tally.series(), seconds),
                cut(tally.refusals(), seconds),
                cut(tally.callsASecond(), seconds),
                cut(tally.failedASecond(), seconds),
                open,
                latencies);
    }

    private static void look(Map<Long, byte[]> lines, long d, BreakerView b, int second, int seconds) {
        byte state = (byte) (b.state() == BreakerState.CLOSED ? 0 : b.state() == BreakerState.HALF_OPEN ? 1 : 2);
        if (state > 0) {
            byte[] line = lines.computeIfAbsent(d, x -> new byte[seconds]);
            line[second] = (byte) Math.max(line[second], state);
        }
    }

    private static boolean has(byte[] line) {
        for (byte b : line) {
            if (b == 2) {
                return true;
            }
        }
        return false;
    }

    private static double[] cut(double[] of, int n) {
        return java.util.Arrays.copyOf(of, Math.min(of.length, n));
    }

    private static int[] cut(int[] of, int n) {
        return java.util.Arrays.copyOf(of, Math.min(of.length, n));
    }

    /** One line of JSON with the figures; the series are the report's. */
    public String json(Map<String, String> parameters) {
        List<String> all = new ArrayList<>();
        parameters.forEach((k, v) -> all.add(JsonValue.quote(k) + ":" + JsonValue.quote(v)));
        all.add("\"policy\":" + JsonValue.quote(policy));
        all.add("\"seed\":" + seed);
        figures.forEach((k, v) -> all.add(JsonValue.quote(k) + ":" + number(v)));
        broken.forEach((k, v) -> all.add(JsonValue.quote("broken_" + k) + ":" + v));
        return "{" + String.join(",", all) + "}";
    }

    static String number(double v) {
        return v == Math.rint(v) && Math.abs(v) < 1e15
                ? Long.toString((long) v)
                : String.format(Locale.ROOT, "%.6f", v);
    }
}
