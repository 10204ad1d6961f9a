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

/** A fleet test: rounds of faults against one cluster, and the checkers' word on its whole history. */
public final class LeaseTestRun {
    /** The faults that can be planted, each to be caught by one checker. */
    public static final List<String> PLANTS =
            List.of("no-margin", "no-fence", "no-heal", "gossip", "gossip-majority", "no-confirm", "at-commit");
    /**
     * A test's terms: {@code scenario} a file, {@code leases} or {@code versions}; {@code plant} one of {@link #PLANTS}, or null; {@code
     * members}: how many there are, 0 for as many as the scenario says.
     */
    public record Terms(String scenario, int rounds, long seed, String plant, Path folder, int members) {
        public Terms(String scenario, int rounds, long seed, String plant, Path folder) {
            this(scenario, rounds, seed, plant, folder, 0);
        }
    }

    /** What came of it; {@code figures} by name, in milliseconds where the name says so. */
    public record Result(List<String> violations, Map<String, Object> figures) {
        public String json() throws IOException {
            Map<String, Object> all = new LinkedHashMap<>(figures);
            all.put("violations", violations);
            return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(all);
        }
    }

    /** The scenario of versions under a nemesis. */
    public static final String VERSIONS = "versions";

    static final long LIVENESS_MS = 20_000; // after a heal: two terms, some elections, and a loaded machine's pace

    private LeaseTestRun() {}

    /** The faults of each round, in words; the same for one seed. */
    public static List<String> schedule(Terms t) throws IOException {
        FaultSchedule plan = plan(t);
        List<String> all = new ArrayList<>();
        for (int n = 0; n < t.rounds(); n++) {
            all.add(n + ": "
                    + String.join(
                            ", ",
                            faults(plan, t, n).stream()
                                    .map(FaultInjection::toString)
                                    .toList()));
        }
        return all;
    }

    private static FaultSchedule plan(Terms t) throws IOException {
        if (onGossip(t)) {
            return FaultSchedule.gossip();
        }
        FaultSchedule plan = onVersions(t)
                ? FaultSchedule.versions("at-commit".equals(t.plant()) ? 5 : 3)
                : t.scenario().equals("leases") ? FaultSchedule.leases() : FaultSchedule.read(Path.of(t.scenario()));
        plan = t.members() == 0 ? plan : plan.of(t.members());
        return "no-margin".equals(t.plant()) ? plan.withoutMargin() : plan;
    }

    private static List<FaultInjection> faults(FaultSchedule plan, Terms t, int n) {
        return onVersions(t)
                ? VersionTestRun.faults(plan, t, n)
                : plan.faults().isEmpty() ? Nemesis.round(t.seed(), n, plan.ttlMs()) : plan.faults();
    }

    /** Plays it; {@code tell} is given a line a round. */
    public static Result run(Terms t, Consumer<String> tell) throws IOException {
        return run(plan(t), t, tell);
    }

    static Result run(FaultSchedule plan, Terms t, Consumer<String> tell) throws IOException {
        Files.createDirectories(t.folder());
        long began = System.nanoTime();
        if (onVersions(t)) {
            return VersionTestRun.run(plan, t, tell);
        }
        if (onGossip(t)) {
            return gossip(plan, t, gossipRule(t.plant()), tell);
        }
        try (ProcessCluster c = new ProcessCluster(
                plan, t.folder(), ClusterSetup.withLeases("", true, !"no-fence".equals(t.plant())))) {
            c.history().event("healed").append(); // the first holder is owed as one after a heal is
            c.awaitAct(System.nanoTime() + LIVENESS_MS * 1_000_000);
            for (int n = 0; n < t.rounds(); n++) {
                List<FaultInjection> faults = faults(plan, t, n);
                tell.accept("round " + n + ": " + faults);
                round(c, plan, faults, !"no-heal".equals(t.plant()));
            }
            c.history().event("end").append();
            HistoryCheckers checkers = HistoryCheckers.read(c.histories());
            Result result = new Result(checkers.all(LIVENESS_MS), figures(checkers, t, began));
            result.violations().forEach(tell);
            return result;
        }
    }

    private static boolean onVersions(Terms t) {
        return t.scenario().equals(VERSIONS) || (t.plant() != null && VersionTestRun.PLANTS.contains(t.plant()));
    }

    private static boolean onGossip(Terms t) {
        return t.plant() != null && t.plant().startsWith("gossip");
    }

    private static ClusterSetup.GossipLease gossipRule(String plant) {
        return plant.equals("gossip") ? ClusterSetup.GossipLease.LOWEST : ClusterSetup.GossipLease.MAJORITY;
    }

    /** Rounds with a lease on gossip alone, held by {@code rule}; nothing acts on it, and lease safety alone is checked. */
    static Result gossip(FaultSchedule plan, Terms t, ClusterSetup.GossipLease rule, Consumer<String> tell)
            throws IOException {
        long began = System.nanoTime();
        try (ProcessCluster c = new ProcessCluster(plan, t.folder(), ClusterSetup.withLeaseOnGossip(rule))) {
            for (int n = 0; n < t.rounds(); n++) {
                tell.accept("round " + n + ": " + plan.faults());
                if (!c.awaitGrant("n1", System.nanoTime() + LIVENESS_MS * 1_000_000)) {
                    throw new IOException("n1 holds no lease on gossip; the histories are in " + t.folder());
                }
                play(c, plan, plan.faults());
                c.heal(true);
            }
            HistoryCheckers checkers = HistoryCheckers.read(c.histories());
            Result result = new Result(checkers.leaseSafety(), figures(checkers, t, began));
            result.violations().forEach(tell);
            return result;
        }
    }

    static void play(ProcessCluster c, FaultSchedule plan, List<FaultInjection> faults) throws IOException {
        long began = System.nanoTime();
        long ends = began + plan.roundMs() * 1_000_000;
        for (FaultInjection f : faults) {
            until(c, began + f.atMs() * 1_000_000);
            c.inject(f);
        }
        until(c, ends);
    }

    private static void round(ProcessCluster c, FaultSchedule plan, List<FaultInjection> faults, boolean heals)
            throws IOException {
        play(c, plan, faults);
        c.heal(heals);
        c.awaitAct(System.nanoTime() + LIVENESS_MS * 1_000_000); // none in time is the liveness checker's to tell
    }

    /** Waits, and lets stalled members go at their times. */
    private static void until(ProcessCluster c, long atNs) throws IOException {
        while (true) {
            long now = System.nanoTime();
            long next = Math.min(atNs, c.resumeDue(now));
            if (now >= atNs) {
                return;
            }
            Waits.sleep((next - now) / 1_000_000 + 1);
        }
    }

    private static Map<String, Object> figures(HistoryCheckers checkers, Terms t, long began) {
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("rounds", t.rounds());
        f.put("seed", t.seed());
        f.put("plant", t.plant() == null ? "" : t.plant());
        f.put("seconds", (System.nanoTime() - began) / 1_000_000_000);
        f.put("faults", checkers.count("fault"));
        f.put("requests", checkers.count("invoke"));
        f.put("granted", checkers.count("granted"));
        f.put("acts", checkers.count("act"));
        f.put("acts_fenced", checkers.fenced());
        Histogram takeover = new Histogram(60_000_000L, 3);
        checkers.takeovers().forEach(takeover::recordValue);
        f.put("takeovers", takeover.getTotalCount());
        f.put("takeover_ms_p50", takeover.getValueAtPercentile(50));
        f.put("takeover_ms_p99", takeover.getValueAtPercentile(99));
        return f;
    }
}
