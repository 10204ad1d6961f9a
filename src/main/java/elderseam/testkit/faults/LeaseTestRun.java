package elderseam.testkit.faults;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/** A fault test: rounds of faults on one cluster of processes, and the checkers' verdict on its whole history. */
public final class LeaseTestRun {
    /** The faults that can be planted in the program or the test, each to be found by one checker. */
    public static final List<String> PLANTS =
            List.of("no-margin", "no-fence", "no-heal", "gossip", "gossip-majority", "no-confirm", "at-commit");

    /** The scenario of configuration versions under a nemesis. */
    public static final String VERSIONS = "versions";

    private static final String LEASES = "leases";

    /** How long after a heal the first act may come: two terms, some elections, and a loaded machine's delays. */
    private static final long LIVENESS_MS = 20_000;

    private static final int VERSION_MEMBERS = 3;
    private static final int AT_COMMIT_MEMBERS = 5; // one is late, another is cut off, and three are a majority
    private static final long MAX_TAKEOVER_MS = 60_000_000;

    private LeaseTestRun() {}

    /**
     * The terms of a test.
     *
     * @param scenario {@code leases}, {@code versions}, or a scenario file's path
     * @param seed of the nemesis
     * @param plant one of {@link #PLANTS}, or null
     * @param folder for the cluster's files
     * @param members how many there are; 0 for as many as the scenario says
     */
    public record Terms(String scenario, int rounds, long seed, String plant, Path folder, int members) {
        /** Terms with as many members as the scenario says. */
        public Terms(String scenario, int rounds, long seed, String plant, Path folder) {
            this(scenario, rounds, seed, plant, folder, 0);
        }

        private boolean isPlanted(String fault) {
            return fault.equals(plant);
        }

        private boolean isOnVersions() {
            return scenario.equals(VERSIONS) || (plant != null && VersionTestRun.PLANTS.contains(plant));
        }

        private boolean isOnGossip() {
            return plant != null && plant.startsWith("gossip");
        }
    }

    /**
     * What came of a test.
     *
     * @param violations what the checkers found, a line each; empty where all held
     * @param figures by name, in milliseconds where the name says so
     */
    public record Result(List<String> violations, Map<String, Object> figures) {
        /** The figures and the violations as a JSON object. */
        public String json() throws IOException {
            Map<String, Object> all = new LinkedHashMap<>(figures);
            all.put("violations", violations);
            return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(all);
        }
    }

    /** The faults of each round, a line each; the same for the same terms. */
    public static List<String> schedule(Terms terms) throws IOException {
        FaultSchedule schedule = scheduleOf(terms);
        List<String> rounds = new ArrayList<>();
        for (int round = 0; round < terms.rounds(); round++) {
            List<String> faults = faults(schedule, terms, round).stream()
                    .map(FaultInjection::toString)
                    .toList();
            rounds.add(round + ": " + String.join(", ", faults));
        }
        return rounds;
    }

    private static FaultSchedule scheduleOf(Terms terms) throws IOException {
        if (terms.isOnGossip()) {
            return FaultSchedule.gossip();
        }
        FaultSchedule schedule = scenario(terms);
        if (terms.members() != 0) {
            schedule = schedule.withMembers(terms.members());
        }
        return terms.isPlanted("no-margin") ? schedule.withoutDriftAllowance() : schedule;
    }

    private static FaultSchedule scenario(Terms terms) throws IOException {
        if (terms.isOnVersions()) {
            return FaultSchedule.versions(terms.isPlanted("at-commit") ? AT_COMMIT_MEMBERS : VERSION_MEMBERS);
        }
        return terms.scenario().equals(LEASES) ? FaultSchedule.leases() : FaultSchedule.read(Path.of(terms.scenario()));
    }

    private static List<FaultInjection> faults(FaultSchedule schedule, Terms terms, int round) {
        if (terms.isOnVersions()) {
            return VersionTestRun.faults(schedule, terms, round);
        }
        return schedule.faults().isEmpty() ? Nemesis.round(terms.seed(), round, schedule.ttlMs()) : schedule.faults();
    }

    /** Plays a test; {@code progress} is given a line a round and a violation. Returns once its processes have ended. */
    public static Result run(Terms terms, Consumer<String> progress) throws IOException {
        return run(scheduleOf(terms), terms, progress);
    }

    /** Plays a test by a schedule of the caller's. */
    static Result run(FaultSchedule schedule, Terms terms, Consumer<String> progress) throws IOException {
        Files.createDirectories(terms.folder());
        if (terms.isOnVersions()) {
            return VersionTestRun.run(schedule, terms, progress);
        }
        return terms.isOnGossip() ? runOnGossip(schedule, terms, progress) : runOnLeaseGroup(schedule, terms, progress);
    }

    private static Result runOnLeaseGroup(FaultSchedule schedule, Terms terms, Consumer<String> progress)
            throws IOException {
        long beganNs = System.nanoTime();
        ClusterSetup setup = ClusterSetup.withLeases("", true, !terms.isPlanted("no-fence"));
        try (ProcessCluster cluster = new ProcessCluster(schedule, terms.folder(), setup)) {
            cluster.history().event("healed").append(); // the first act is due as one after a heal is
            cluster.awaitAct(livenessDeadline());
            for (int round = 0; round < terms.rounds(); round++) {
                List<FaultInjection> faults = faults(schedule, terms, round);
                progress.accept("round " + round + ": " + faults);
                play(cluster, schedule, faults);
                cluster.heal(!terms.isPlanted("no-heal"));
                cluster.awaitAct(livenessDeadline()); // where none comes in time, the liveness checker finds it
            }
            cluster.history().event("end").append();
            HistoryCheckers checkers = HistoryCheckers.read(cluster.histories());
            return report(checkers, checkers.all(LIVENESS_MS), terms, beganNs, progress);
        }
    }

    /** Rounds with a lease on gossip alone; nothing acts on it, and lease safety alone is checked. */
    private static Result runOnGossip(FaultSchedule schedule, Terms terms, Consumer<String> progress)
            throws IOException {
        long beganNs = System.nanoTime();
        ClusterSetup.GossipLease rule =
                terms.isPlanted("gossip") ? ClusterSetup.GossipLease.LOWEST : ClusterSetup.GossipLease.MAJORITY;
        try (ProcessCluster cluster =
                new ProcessCluster(schedule, terms.folder(), ClusterSetup.withLeaseOnGossip(rule))) {
            for (int round = 0; round < terms.rounds(); round++) {
                progress.accept("round " + round + ": " + schedule.faults());
                if (!cluster.awaitGrant("n1", livenessDeadline())) {
                    throw new IOException("n1 holds no lease on gossip; the histories are in " + terms.folder());
                }
                play(cluster, schedule, schedule.faults());
                cluster.heal(true);
            }
            HistoryCheckers checkers = HistoryCheckers.read(cluster.histories());
            return report(checkers, checkers.leaseSafety(), terms, beganNs, progress);
        }
    }

    private static Result report(
            HistoryCheckers checkers, List<String> violations, Terms terms, long beganNs, Consumer<String> progress) {
        Result result = new Result(violations, figures(checkers, terms, beganNs));
        violations.forEach(progress);
        return result;
    }

    private static long livenessDeadline() {
        return System.nanoTime() + LIVENESS_MS * Waits.NANOS_PER_MS;
    }

    /** Injects a round's faults at their times, and returns at the round's end. */
    static void play(ProcessCluster cluster, FaultSchedule schedule, List<FaultInjection> faults) throws IOException {
        long beganNs = System.nanoTime();
        for (FaultInjection fault : faults) {
            waitUntil(cluster, beganNs + fault.atMs() * Waits.NANOS_PER_MS);
            cluster.inject(fault);
        }
        waitUntil(cluster, beganNs + schedule.roundMs() * Waits.NANOS_PER_MS);
    }

    /** Waits, and lets stalled members go on at their times. */
    private static void waitUntil(ProcessCluster cluster, long deadlineNs) throws IOException {
        while (true) {
            long nowNs = System.nanoTime();
            long nextNs = Math.min(deadlineNs, cluster.resumeDue(nowNs));
            if (nowNs >= deadlineNs) {
                return;
            }
            Waits.sleep((nextNs - nowNs) / Waits.NANOS_PER_MS + 1);
        }
    }

    private static Map<String, Object> figures(HistoryCheckers checkers, Terms terms, long beganNs) {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("rounds", terms.rounds());
        figures.put("seed", terms.seed());
        figures.put("plant", terms.plant() == null ? "" : terms.plant());
        figures.put("seconds", (System.nanoTime() - beganNs) / Waits.NANOS_PER_SECOND);
        figures.put("faults", checkers.count("fault"));
        figures.put("requests", checkers.count("invoke"));
        figures.put("granted", checkers.count("granted"));
        figures.put("acts", checkers.count("act"));
        figures.put("acts_fenced", checkers.fenced());
        Histogram takeoverMs = new Histogram(MAX_TAKEOVER_MS, 3);
        checkers.takeovers().forEach(takeoverMs::recordValue);
        figures.put("takeovers", takeoverMs.getTotalCount());
        figures.put("takeover_ms_p50", takeoverMs.getValueAtPercentile(50));
        figures.put("takeover_ms_p99", takeoverMs.getValueAtPercentile(99));
        return figures;
    }
}
