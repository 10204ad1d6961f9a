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
 * A fleet test of versions: in each round a new one is proposed at one member while faults befall the processes and their links,
 * and after the heal all have to act on the latest. The checker of agreement reads who acted on what, and until when.
 */
final class VersionTestRun {
    static final long BOUND_MS = 1_000;
    static final long LIVENESS_MS = 30_000;
    /** What is allowed beside T: an answer's way, the drift of clocks over T, and a timer of 20 ms that comes late on a loaded machine. */
    static final long CLOCK_MS = 250;
    /** While one member leads all switch this close to each other: an answer's way over links that a nemesis delays by up to 64 ms each
     *  way, the drift since, and a timer. */
    static final long STEP_MS = 300;

    private static final int QUIET_EVERY = 4;
    private static final long QUIET_MS = 3_000;
    private static final long LONG_MS = 8_000; // the longer one outlasts an election before the commit
    static final List<String> PLANTS = List.of("no-confirm", "at-commit");

    private VersionTestRun() {}

    /** {@code plant}: one of {@link #PLANTS}, or null. */
    static ClusterSetup setup(String plant) {
        return new ClusterSetup(
                true,
                name -> "versions_bound_ms = " + BOUND_MS + "\n[rehearsal]\nversions = "
                        + (plant == null ? "right" : plant) + "\n",
                false,
                true,
                ClusterSetup.GossipLease.NO_GOSSIP);
    }

    static LeaseTestRun.Result run(FaultSchedule plan, LeaseTestRun.Terms t, Consumer<String> tell) throws IOException {
        long began = System.nanoTime();
        Histogram effect = new Histogram(120_000L, 3);
        int refused = 0;
        try (ProcessCluster c = new ProcessCluster(plan, t.folder(), setup(t.plant()))) {
            VersionProposals.agreed(
                    c, System.nanoTime() + LIVENESS_MS * 1_000_000); // the group has a leader, and all have confirmed
            for (int n = 0; n < t.rounds(); n++) {
                List<FaultInjection> faults = faults(plan, t, n);
                tell.accept("round " + n + ": " + faults);
                String led = c.leader();
                c.history().event("round").append();
                FaultSchedule lasts = faults.isEmpty()
                        ? plan.lasting(QUIET_MS)
                        : "no-confirm".equals(t.plant()) ? plan.lasting(LONG_MS) : plan;
                refused += round(c, lasts, n, faults) ? 0 : 1;
                if (c.leader().equals(led)) {
                    c.history().event("steady").append();
                }
            }
            c.history().event("end").append();
            HistoryCheckers checkers = HistoryCheckers.read(c.histories());
            checkers.effects().forEach(ms -> effect.recordValue(Math.min(120_000, ms)));
            List<String> found = new ArrayList<>(checkers.agreement(BOUND_MS + CLOCK_MS, STEP_MS));
            found.addAll(checkers.leaseSafety());
            found.forEach(tell);
            Map<String, Object> f = new LinkedHashMap<>();
            f.put("rounds", t.rounds());
            f.put("seed", t.seed());
            f.put("plant", t.plant() == null ? "" : t.plant());
            f.put("members", plan.members());
            f.put("seconds", (System.nanoTime() - began) / 1_000_000_000);
            f.put("faults", checkers.count("fault"));
            f.put("proposals_not_committed", refused);
            f.put("bound_ms", BOUND_MS);
            f.put("longest_disagreement_ms", checkers.longestDisagreementMs(false));
            f.put("longest_while_one_led_ms", checkers.longestDisagreementMs(true));
            f.put("effect_ms_p50", effect.getValueAtPercentile(50));
            f.put("effect_ms_p99", effect.getValueAtPercentile(99));
            return new LeaseTestRun.Result(found, f);
        }
    }

    /** Every fourth round is quiet; a planted fault gets the rounds that show it. */
    static List<FaultInjection> faults(FaultSchedule plan, LeaseTestRun.Terms t, int n) {
        if ("at-commit".equals(t.plant())) { // one is late with its check, another is cut off once it has made its own
            return List.of(FaultInjection.parse(0, "stall n5 900"), FaultInjection.parse(850, "isolate n4"));
        } else if (t.plant() == null && n % QUIET_EVERY == QUIET_EVERY - 1) {
            return List.of();
        } else if ("no-confirm".equals(t.plant())) {
            return List.of(FaultInjection.parse(200, "isolate n1"));
        }
        return plan.faults().isEmpty() ? Nemesis.round(t.seed(), n, plan.ttlMs()) : plan.faults();
    }

    /** Whether its proposal was committed; after the heal all act on the latest, whatever became of it. */
    private static boolean round(ProcessCluster c, FaultSchedule plan, int n, List<FaultInjection> faults)
            throws IOException {
        Path file = write(c, n);
        String at = c.group().get(1 + n % 2);
        String hash = VersionProposals.propose(c, at, file, "round " + n);
        LeaseTestRun.play(c, plan, faults);
        c.heal(true);
        return hash.equals(VersionProposals.agreed(c, System.nanoTime() + LIVENESS_MS * 1_000_000));
    }

    /** A version of rules that differ from round to round. */
    static Path write(ProcessCluster c, int n) throws IOException {
        Path folder = Files.createDirectories(c.folder().resolve("proposals").resolve(Integer.toString(n)));
        Files.writeString(
                folder.resolve("round.rules"),
                "[limit round]\nrate_per_s = " + (100 + n)
                        + "\nburst = 1000\n[table all]\nmatch = first\n[rule all]\nwhen = true\nlimit = round\n");
        return Files.writeString(folder.resolve("version.ini"), "[rules]\nfiles = round.rules\n");
    }
}
