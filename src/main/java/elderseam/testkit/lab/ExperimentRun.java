package elderseam.testkit.lab;

import elderseam.core.JsonValue;
import elderseam.policy.BreakerState;
import elderseam.testkit.emulator.EmulatedWorld;
import elderseam.testkit.emulator.Policies;
import elderseam.testkit.emulator.RuleCheckers;
import elderseam.testkit.emulator.RunStatistics;
import elderseam.testkit.emulator.Scenario;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;

/**
 * The results of one run of a scenario with one policy and one seed. The same three give the same results.
 *
 * @param figures by name, in the order of reports
 * @param broken how often each rule was broken, by the rule's wire name; empty where none was
 * @param violations the first violations of rules, a line each
 * @param serviceBySecond the service that the requests of each second got; NaN in a second without requests
 * @param refusalsBySecond rejections that reached a client in each second
 * @param failedCallsBySecond calls that failed in each second
 * @param breakerTimelines by destination, of those that had a breaker open: the state furthest from closed of all dispatchers in each
 *     second
 * @param latencyPercentiles by request class: milliseconds at each of {@link #PERCENTILES}
 */
public record ExperimentRun(
        String policy,
        long seed,
        Map<String, Double> figures,
        Map<String, Integer> broken,
        String violations,
        double[] serviceBySecond,
        int[] refusalsBySecond,
        int[] failedCallsBySecond,
        SortedMap<Long, BreakerState[]> breakerTimelines,
        Map<String, double[]> latencyPercentiles) {
    static final double[] PERCENTILES = {1, 10, 25, 50, 75, 90, 95, 99, 99.9, 99.99, 100};

    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MICROS_PER_MILLI = 1_000;

    /**
     * Plays a scenario to its end on the caller's thread.
     *
     * @param policy a name of {@link Policies#names}
     * @param progress receives the virtual time in seconds from time to time
     */
    public static ExperimentRun of(Scenario scenario, String policy, long seed, DoubleConsumer progress) {
        RunStatistics statistics = new RunStatistics(scenario);
        RuleCheckers checkers = new RuleCheckers(scenario.fleet().slots());
        EmulatedWorld world = new EmulatedWorld(scenario, policy, seed, List.of(statistics, checkers));
        int seconds = (int) Math.ceil(scenario.seconds());
        BreakerTimelines breakers = new BreakerTimelines(seconds);
        observeEachSecond(world, breakers, seconds);
        world.run(progress);
        Map<String, Integer> broken = new TreeMap<>();
        checkers.broken().forEach((rule, count) -> broken.put(rule.wireName(), count));
        return new ExperimentRun(
                policy,
                seed,
                figures(statistics, checkers),
                broken,
                checkers.violations(),
                truncated(statistics.serviceBySecond(), seconds),
                truncated(statistics.rejectionsBySecond(), seconds),
                truncated(statistics.failedCallsBySecond(), seconds),
                breakers.opened(),
                latencyPercentiles(statistics));
    }

    private static void observeEachSecond(EmulatedWorld world, BreakerTimelines breakers, int seconds) {
        for (int i = 0; i < seconds; i++) {
            int second = i;
            world.time().at(second * NANOS_PER_SECOND, () -> {
                world.breakers((destination, breaker) -> breakers.observe(second, destination, breaker));
            });
        }
    }

    private static Map<String, Double> figures(RunStatistics statistics, RuleCheckers checkers) {
        Map<String, Double> figures = statistics.figures();
        figures.put("felled", (double) checkers.collapses());
        int brokenCount =
                checkers.broken().values().stream().mapToInt(Integer::intValue).sum();
        figures.put("broken", (double) brokenCount);
        return figures;
    }

    private static Map<String, double[]> latencyPercentiles(RunStatistics statistics) {
        Map<String, double[]> latencies = new LinkedHashMap<>();
        for (int requestClass = 0; requestClass < Policies.CLASS_NAMES.size(); requestClass++) {
            double[] millis = new double[PERCENTILES.length];
            for (int i = 0; i < PERCENTILES.length; i++) {
                long micros = statistics.latencyMicros(requestClass).getValueAtPercentile(PERCENTILES[i]);
                millis[i] = micros / MICROS_PER_MILLI;
            }
            latencies.put(Policies.CLASS_NAMES.get(requestClass), millis);
        }
        return latencies;
    }

    private static double[] truncated(double[] values, int maxLength) {
        return Arrays.copyOf(values, Math.min(values.length, maxLength));
    }

    private static int[] truncated(int[] values, int maxLength) {
        return Arrays.copyOf(values, Math.min(values.length, maxLength));
    }

    /**
     * Formats the figures as one JSON object on one line; the values by second are left out.
     *
     * @param parameters members that come first, such as the values that a sweep has set
     */
    public String json(Map<String, String> parameters) {
        List<String> members = new ArrayList<>();
        parameters.forEach((name, value) -> members.add(JsonValue.quote(name) + ":" + JsonValue.quote(value)));
        members.add("\"policy\":" + JsonValue.quote(policy));
        members.add("\"seed\":" + seed);
        figures.forEach((name, value) -> members.add(JsonValue.quote(name) + ":" + FigureFormat.format(value)));
        broken.forEach((rule, count) -> members.add(JsonValue.quote("broken_" + rule) + ":" + count));
        return "{" + String.join(",", members) + "}";
    }
}
