package elderseam.figures;

import elderseam.testkit.gossip.SimulatedService;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/** The table of docs/gossip.md: service with gossip off and on, twenty seeds, honest and lying. Half a minute on eight cores. */
public final class GossipMeasurements {
    private static final int SEEDS = 20;
    private static final int[][] FLEETS = {{4, 0}, {16, 0}, {4, 1}, {16, 1}, {5, 1}, {5, 2}, {5, 3}};

    private GossipMeasurements() {}

    public static void main(String[] args) {
        System.out.println(
                "dispatchers lying | service off on, worst and median difference | failed calls median (worst) off on"
                        + " | refusals median (worst) off on | calls while down off on | felled off on | rules broken");
        for (int[] f : FLEETS) {
            List<SimulatedService> off = runs(f, false);
            List<SimulatedService> on = runs(f, true);
            List<Double> differences = new ArrayList<>();
            for (int i = 0; i < SEEDS; i++) {
                differences.add(on.get(i).service() - off.get(i).service());
            }
            differences.sort(null);
            System.out.printf(
                    "%2d %d | %.4f %.4f, %.4f %.4f | %s %s | %s %s | %.0f %.0f | %.0f %.0f | %.0f%n",
                    f[0],
                    f[1],
                    mean(off),
                    mean(on),
                    differences.get(0),
                    (differences.get(SEEDS / 2 - 1) + differences.get(SEEDS / 2)) / 2,
                    spread(off, SimulatedService::failedCalls),
                    spread(on, SimulatedService::failedCalls),
                    spread(off, SimulatedService::refusals),
                    spread(on, SimulatedService::refusals),
                    sum(off, SimulatedService::callsWhileDown),
                    sum(on, SimulatedService::callsWhileDown),
                    sum(off, SimulatedService::overloadFailures),
                    sum(on, SimulatedService::overloadFailures),
                    sum(off, SimulatedService::ruleViolations) + sum(on, SimulatedService::ruleViolations));
        }
    }

    private static List<SimulatedService> runs(int[] fleet, boolean gossip) {
        return IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> SimulatedService.run(fleet[0], 0, fleet[1], gossip, seed))
                .toList();
    }

    private static double mean(List<SimulatedService> all) {
        return sum(all, SimulatedService::service) / SEEDS;
    }

    private static double sum(List<SimulatedService> all, ToDoubleFunction<SimulatedService> what) {
        return all.stream().mapToDouble(what).sum();
    }

    private static String spread(List<SimulatedService> all, ToDoubleFunction<SimulatedService> what) {
        double[] sorted = all.stream().mapToDouble(what).sorted().toArray();
        return String.format("%.0f (%.0f)", (sorted[SEEDS / 2 - 1] + sorted[SEEDS / 2]) / 2, sorted[SEEDS - 1]);
    }
}
