package elderseam.testkit.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * A fault test of configuration versions: in each round a new one is proposed at one member while faults are injected, and
 * after the heal all members have to act on the latest. The checker of agreement reads from the history which member acted
 * on which version, and until when.
 */
final class VersionTestRun {
    /** Within this time of a commit no member acts on the version before it: versions_bound_ms. */
    static final long BOUND_MS = 1_000;

    /** What is allowed beside the bound: an answer's way, the drift of clocks over it, and a timer of 20 ms on a loaded machine. */
    static final long BOUND_TOLERANCE_MS = 250;

    /**
     * How close to each other all members switch while one member leads: an answer's way over links that a nemesis delays by
     * up to 64 ms each way, the drift since, and a timer.
     */
    static final long SWITCH_TOLERANCE_MS = 300;

    /** The faults of this test that can be planted, each to be found by the checker of agreement. */
    static final List<String> PLANTS = List.of("no-confirm", "at-commit");

    private static final String PLANT_NO_CONFIRM = "no-confirm";
    private static final String PLANT_AT_COMMIT = "at-commit";
    private static final long LIVENESS_MS = 30_000;
    private static final int QUIET_ROUND_INTERVAL = 4;
    private static final long QUIET_ROUND_MS = 3_000;
    private static final long LEADER_POLL_MS = 20;
    private static final long LONG_ROUND_MS = 8_000; // outlasts an election before the commit
    private static final long MAX_EFFECT_MS = 120_000;

    private final FaultSchedule schedule;
    private final LeaseTestRun.Terms terms;
    private final Consumer<String> progress;

    private VersionTestRun(FaultSchedule schedule, LeaseTestRun.Terms terms, Consumer<String> progress) {
        this.schedule = schedule;
        this.terms = terms;
        this.progress = progress;
    }

    /** {@code plant}: one of {@link #PLANTS}, or null. */
    static ClusterSetup setup(String plant) {
        String rule = plant == null ? "right" : plant;
        String lines = "versions_bound_ms = " + BOUND_MS + "\n[rehearsal]\nversions = " + rule + "\n";
        return ClusterSetup.withLeases(lines, false, true);
    }

    /** Plays the rounds and checks the history; {@code progress} is given a line a round and a violation. */
    static LeaseTestRun.Result run(FaultSchedule schedule, LeaseTestRun.Terms terms, Consumer<String> progress)
            throws IOException {
        return new VersionTestRun(schedule, terms, progress).run();
    }

    private LeaseTestRun.Result run() throws IOException {
        long beganNs = System.nanoTime();
        try (ProcessCluster cluster = new ProcessCluster(schedule, terms.folder(), setup(terms.plant()))) {
            // once all agree, the group has a leader, and all have confirmed
            VersionProposals.awaitAgreement(cluster, livenessDeadline());
            int notCommitted = 0;
            for (int round = 0; round < terms.rounds(); round++) {
                notCommitted += playRound(cluster, round) ? 0 : 1;
            }
            cluster.history().event("end").append();
            HistoryCheckers checkers = HistoryCheckers.read(cluster.histories());
            List<String> violations =
                    new ArrayList<>(checkers.agreement(BOUND_MS + BOUND_TOLERANCE_MS, SWITCH_TOLERANCE_MS));
            violations.addAll(checkers.leaseSafety());
            violations.forEach(progress);
            return new LeaseTestRun.Result(violations, figures(checkers, notCommitted, beganNs));
        }
    }

    /** Plays a round; whether its proposal was committed. The history names the rounds in which one member led throughout. */
    private boolean playRound(ProcessCluster cluster, int round) throws IOException {
        List<FaultInjection> faults = faults(schedule, terms, round);
        progress.accept("round " + round + ": " + faults);
        String leaderBefore = cluster.leader();
        cluster.history().event("round").append();
        boolean committed = proposeUnderFaults(cluster, schedule.withRoundMs(roundMs(faults)), round, faults);
        if (cluster.leader().equals(leaderBefore)) {
            cluster.history().event("steady").append();
        }
        return committed;
    }

    private long roundMs(List<FaultInjection> faults) {
        if (faults.isEmpty()) {
            return QUIET_ROUND_MS;
        }
        return PLANT_NO_CONFIRM.equals(terms.plant()) ? LONG_ROUND_MS : schedule.roundMs();
    }

    /** Whether the round's proposal was committed; after the heal all act on the latest, whatever became of it. */
    private boolean proposeUnderFaults(
            ProcessCluster cluster, FaultSchedule schedule, int round, List<FaultInjection> faults) throws IOException {
        Path file = writeVersion(cluster, round);
        String member = cluster.group().get(1 + round % 2);
        List<FaultInjection> later = faults;
        if (PLANT_NO_CONFIRM.equals(terms.plant())) {
            isolateBeforeProposal(cluster, faults.get(0));
            later = faults.subList(1, faults.size());
        }
        String hash = VersionProposals.propose(cluster, member, file, "round " + round);
        LeaseTestRun.play(cluster, schedule, later);
        cluster.heal(true);
        return hash.equals(VersionProposals.awaitAgreement(cluster, livenessDeadline()));
    }

    /** Cut off only after the proposal, a member that is quick enough has the version and switches in time. */
    private static void isolateBeforeProposal(ProcessCluster cluster, FaultInjection isolation) throws IOException {
        String leaderBefore = cluster.leader();
        cluster.inject(isolation);
        long deadlineNs = livenessDeadline();
        while (isolation.words().contains(leaderBefore)
                && cluster.leader().equals(leaderBefore)
                && System.nanoTime() < deadlineNs) {
            Waits.sleep(LEADER_POLL_MS);
        }
    }

    private static long livenessDeadline() {
        return System.nanoTime() + LIVENESS_MS * Waits.NANOS_PER_MS;
    }

    /** The faults of a round: every fourth one is quiet; a planted fault gets the rounds that show it. */
    static List<FaultInjection> faults(FaultSchedule schedule, LeaseTestRun.Terms terms, int round) {
        if (PLANT_AT_COMMIT.equals(terms.plant())) {
            // one is late with its check, another is cut off once it has made its own
            return List.of(FaultInjection.parse(0, "stall n5 900"), FaultInjection.parse(850, "isolate n4"));
        }
        if (PLANT_NO_CONFIRM.equals(terms.plant())) {
            return List.of(FaultInjection.parse(0, "isolate n1"));
        }
        if (terms.plant() == null && round % QUIET_ROUND_INTERVAL == QUIET_ROUND_INTERVAL - 1) {
            return List.of();
        }
        return schedule.faults().isEmpty() ? Nemesis.round(terms.seed(), round, schedule.ttlMs()) : schedule.faults();
    }

    private Map<String, Object> figures(HistoryCheckers checkers, int notCommitted, long beganNs) {
        Histogram effectMs = new Histogram(MAX_EFFECT_MS, 3);
        checkers.effects().forEach(ms -> effectMs.recordValue(Math.min(MAX_EFFECT_MS, ms)));
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("rounds", terms.rounds());
        figures.put("seed", terms.seed());
        figures.put("plant", terms.plant() == null ? "" : terms.plant());
        figures.put("members", schedule.members());
        figures.put("seconds", (System.nanoTime() - beganNs) / Waits.NANOS_PER_SECOND);
        figures.put("faults", checkers.count("fault"));
        figures.put("proposals_not_committed", notCommitted);
        figures.put("bound_ms", BOUND_MS);
        figures.put("longest_disagreement_ms", checkers.longestDisagreementMs(false));
        figures.put("longest_while_one_led_ms", checkers.longestDisagreementMs(true));
        figures.put("effect_ms_p50", effectMs.getValueAtPercentile(50));
        figures.put("effect_ms_p99", effectMs.getValueAtPercentile(99));
        return figures;
    }

    /** Writes a version whose rules differ from round to round; its file. */
    static Path writeVersion(ProcessCluster cluster, int round) throws IOException {
        Path folder = cluster.folder().resolve("proposals").resolve(Integer.toString(round));
        Files.createDirectories(folder);
        Files.writeString(
                folder.resolve("round.rules"),
                "[limit round]\nrate_per_s = " + (100 + round)
                        + "\nburst = 1000\n[table all]\nmatch = first\n[rule all]\nwhen = true\nlimit = round\n");
        return Files.writeString(folder.resolve("version.ini"), "[rules]\nfiles = round.rules\n");
    }
}
