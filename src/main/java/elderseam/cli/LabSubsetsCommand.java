package elderseam.cli;

import elderseam.fleet.partition.EndpointSubsetting;
import elderseam.fleet.partition.SubsetMetrics;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab subsets}: compares the ways to choose the subset of endpoints that each member uses. */
@Command(
        name = "subsets",
        description = "Ways to choose subsets side by side: how even they are, and what moves as members come and go.")
final class LabSubsetsCommand extends LabCommandBase {
    private static final int MAX_ENDPOINTS = 1_000;
    private static final int MIN_MEMBERS = 2;
    private static final int MAX_MEMBERS = 2_000;

    /** How many different members leave, and endpoints fail, for a mean of what each moves. */
    private static final int SAMPLES = 8;

    private static final int PERCENT = 100;

    @Option(
            names = "--members",
            paramLabel = "<members>",
            split = ",",
            defaultValue = "8,30,100,300,1000",
            description = "sizes of the fleet (${DEFAULT-VALUE})")
    private List<Integer> fleetSizes;

    @Option(
            names = "--endpoints",
            paramLabel = "<endpoints>",
            defaultValue = "14",
            description = "1 to 1000 (${DEFAULT-VALUE})")
    private int endpointCount;

    @Option(names = "--size", paramLabel = "<size>", defaultValue = "4", description = "of a subset (${DEFAULT-VALUE})")
    private int subsetSize;

    @Override
    public Integer call() {
        boolean endpointsAllowed = endpointCount >= 1 && endpointCount <= MAX_ENDPOINTS;
        boolean sizeAllowed = subsetSize >= 1 && subsetSize <= endpointCount;
        boolean membersAllowed =
                fleetSizes.stream().allMatch(members -> members >= MIN_MEMBERS && members <= MAX_MEMBERS);
        if (!endpointsAllowed || !sizeAllowed || !membersAllowed) {
            throw usageFault("allowed: 1 to 1000 endpoints, a size of 1 to their number, 2 to 2000 members");
        }
        out().printf(
                        "%-10s %8s %14s %12s %12s %14s%n",
                        "way", "members", "max over mean", "one joins", "one leaves", "endpoint fails");
        for (EndpointSubsetting.Algorithm algorithm : EndpointSubsetting.Algorithm.values()) {
            for (int members : fleetSizes) {
                printRow(algorithm, members);
            }
        }
        return ExitCodes.OK;
    }

    private void printRow(EndpointSubsetting.Algorithm algorithm, int memberCount) {
        List<String> members = names("m", memberCount);
        List<String> endpoints = names("s", endpointCount);
        Map<String, List<String>> now = assign(algorithm, members, endpoints);
        double movedByJoin =
                SubsetMetrics.movedFraction(now, assign(algorithm, names("m", memberCount + 1), endpoints));
        double movedByLeave = meanMoved(
                now, sample -> assign(algorithm, without(members, sample * memberCount / SAMPLES), endpoints));
        double movedByFailure = meanMoved(
                now, sample -> assign(algorithm, members, without(endpoints, sample * endpointCount / SAMPLES)));
        out().printf(
                        Locale.ROOT,
                        "%-10s %8d %14.3f %11.1f%% %11.1f%% %13.1f%%%n",
                        algorithm.wireName(),
                        memberCount,
                        SubsetMetrics.maxOverMeanLoad(now, endpoints),
                        PERCENT * movedByJoin,
                        PERCENT * movedByLeave,
                        PERCENT * movedByFailure);
    }

    private Map<String, List<String>> assign(
            EndpointSubsetting.Algorithm algorithm, List<String> members, List<String> endpoints) {
        int size = Math.min(subsetSize, endpoints.size());
        return EndpointSubsetting.assign(algorithm, members, endpoints, size);
    }

    /** The mean part of the assignment {@code now} that is another in the assignments of the samples. */
    private static double meanMoved(
            Map<String, List<String>> now, IntFunction<Map<String, List<String>>> assignmentOfSample) {
        double sum = 0;
        for (int sample = 0; sample < SAMPLES; sample++) {
            sum += SubsetMetrics.movedFraction(now, assignmentOfSample.apply(sample)) / SAMPLES;
        }
        return sum;
    }

    private static List<String> without(List<String> names, int index) {
        List<String> rest = new ArrayList<>(names);
        rest.remove(index);
        return rest;
    }

    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(prefix + i);
        }
        return names;
    }
}
