package elderseam.testkit.gossip;

import elderseam.gossip.GossipTimings;
import elderseam.gossip.MemberState;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

/**
 * The result of one trial of a fleet's membership: the fleet joins, runs undisturbed, reports a destination, and loses one
 * member. All figures come from virtual time, so one seed gives the same bytes each time.
 *
 * @param localHealth whether Lifeguard's extensions are on
 * @param joinedMs from the start until each member considered all others present; 0 also if that took more than 300 s
 * @param falseSuspicions how often a running member was suspected by another in the undisturbed time
 * @param falseDeaths how often a running member was considered dead by another in the undisturbed time
 * @param traffic what members sent in the undisturbed time
 * @param reportMs from an open breaker at one member until all hold its report, {@link #NEVER} if not within 60 s
 * @param detection how the others noticed the lost member
 */
public record SimulationRun(
        int instances,
        double loss,
        boolean localHealth,
        long seed,
        long joinedMs,
        long falseSuspicions,
        long falseDeaths,
        Traffic traffic,
        long reportMs,
        Detection detection) {
    /** Stands in the output for a time of something that did not happen. */
    public static final long NEVER = -1;

    /** The smallest fleet of a trial. */
    static final int MIN_INSTANCES = 3;

    /** The largest fleet of a trial. */
    static final int MAX_INSTANCES = 1_000;

    private static final double MAX_LOSS = 0.9;
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final long JOIN_LIMIT_NS = 300 * SECOND;
    private static final long SETTLE_NS = 10 * SECOND;
    private static final long REPORT_LIMIT_NS = 60 * SECOND;
    private static final long DETECTION_LIMIT_NS = 120 * SECOND;
    private static final long REPORTED_DESTINATION = 7;

    /**
     * What members sent in a second.
     *
     * @param bytesPerS the mean over the members
     * @param mostBytesPerS the member that sent most
     * @param datagramsPerS the mean over the members
     */
    public record Traffic(long bytesPerS, long mostBytesPerS, double datagramsPerS) {
        private static Traffic of(List<SentTraffic> sent, int seconds) {
            long bytes = sent.stream().mapToLong(SentTraffic::bytes).sum();
            long mostBytes = sent.stream().mapToLong(SentTraffic::bytes).max().orElse(0);
            long datagrams = sent.stream().mapToLong(SentTraffic::datagrams).sum();
            int members = sent.size();
            return new Traffic(bytes / members / seconds, mostBytes / seconds, datagrams / (double) members / seconds);
        }
    }

    /**
     * Times from the kill of a member, in milliseconds; {@link #NEVER} if not within 120 s.
     *
     * @param suspectedMs until the first other member suspected it
     * @param deadMs until the first other member considered it dead
     * @param allMs until all others did
     */
    public record Detection(long suspectedMs, long deadMs, long allMs) {
        private static Detection of(
                List<SimulatedFleet.StateChange> changes, String lost, long killedNs, int observers) {
            long suspectedMs = NEVER;
            long deadMs = NEVER;
            long allMs = NEVER;
            int dead = 0;
            for (SimulatedFleet.StateChange change : changes) {
                if (!change.member().equals(lost)) {
                    continue;
                }
                long elapsedMs = (change.atNs() - killedNs) / MS;
                if (change.state() == MemberState.SUSPECT && suspectedMs == NEVER) {
                    suspectedMs = elapsedMs;
                }
                if (change.state() == MemberState.DEAD) {
                    dead++;
                    deadMs = deadMs == NEVER ? elapsedMs : deadMs;
                }
                if (dead >= observers && allMs == NEVER) {
                    allMs = elapsedMs;
                }
            }
            return new Detection(suspectedMs, deadMs, allMs);
        }
    }

    /**
     * Runs a trial.
     *
     * @param loss the share of datagrams that are lost; a tenth of it comes twice
     * @param undisturbedSeconds how long the fleet runs before it loses a member
     * @throws IllegalArgumentException if a parameter is out of its bounds
     */
    public static SimulationRun run(
            int instances, double loss, boolean localHealth, int undisturbedSeconds, long seed) {
        if (instances < MIN_INSTANCES
                || instances > MAX_INSTANCES
                || loss < 0
                || loss > MAX_LOSS
                || undisturbedSeconds < 1) {
            throw new IllegalArgumentException(
                    "a trial has 3 to 1000 instances, a loss of 0 to 0.9, at least 1 s undisturbed");
        }
        GossipTimings timings = localHealth ? GossipTimings.DEFAULTS : GossipTimings.DEFAULTS.withoutLifeguard();
        SimulatedFleet fleet = new SimulatedFleet(instances, timings, loss, loss / 10, seed);
        OptionalLong joinedNs = fleet.untilConverged(JOIN_LIMIT_NS);
        fleet.advance(SETTLE_NS);
        fleet.takeTraffic();
        List<SimulatedFleet.StateChange> falseChanges = changesDuring(fleet, undisturbedSeconds * SECOND);
        Traffic traffic = Traffic.of(fleet.takeTraffic(), undisturbedSeconds);

        OptionalLong reportNs =
                fleet.untilReportReachesAll(SimulatedFleet.memberName(0), REPORTED_DESTINATION, REPORT_LIMIT_NS);
        String lost = SimulatedFleet.memberName(instances - 1);
        long killedNs = fleet.now();
        fleet.kill(lost);
        List<SimulatedFleet.StateChange> changes = changesDuring(fleet, DETECTION_LIMIT_NS);
        return new SimulationRun(
                instances,
                loss,
                localHealth,
                seed,
                joinedNs.orElse(0) / MS,
                count(falseChanges, MemberState.SUSPECT),
                count(falseChanges, MemberState.DEAD),
                traffic,
                reportNs.isPresent() ? reportNs.getAsLong() / MS : NEVER,
                Detection.of(changes, lost, killedNs, instances - 1));
    }

    /** Lets so much time pass; the changes of state seen in it. */
    private static List<SimulatedFleet.StateChange> changesDuring(SimulatedFleet fleet, long ns) {
        int before = fleet.changes().size();
        fleet.advance(ns);
        return List.copyOf(fleet.changes().subList(before, fleet.changes().size()));
    }

    private static long count(List<SimulatedFleet.StateChange> changes, MemberState state) {
        return changes.stream().filter(change -> change.state() == state).count();
    }

    /** The result as one JSON object in one line. */
    public String json() {
        return String.format(
                Locale.ROOT,
                "{\"instances\":%d,\"loss\":%.3f,\"local_health\":%b,\"seed\":%d,\"joined_ms\":%d,"
                        + "\"false_suspicions\":%d,\"false_deaths\":%d,\"bytes_per_s\":%d,\"most_bytes_per_s\":%d,\"datagrams_per_s\":%.2f,"
                        + "\"claim_ms\":%d,\"suspected_ms\":%d,\"dead_ms\":%d,\"all_ms\":%d}",
                instances,
                loss,
                localHealth,
                seed,
                joinedMs,
                falseSuspicions,
                falseDeaths,
                traffic.bytesPerS,
                traffic.mostBytesPerS,
                traffic.datagramsPerS,
                reportMs,
                detection.suspectedMs,
                detection.deadMs,
                detection.allMs);
    }

    /** The result as text for people, in several lines. */
    public String words() {
        String title = String.format(
                Locale.ROOT,
                "%d instances, loss %.0f%%, local health %s, seed %d%n",
                instances,
                loss * 100,
                localHealth ? "on" : "off",
                seed);
        String undisturbed = String.format(
                Locale.ROOT,
                "  joined after %d ms%n  suspected wrongly %d times, held dead wrongly %d times%n"
                        + "  %d bytes a second each (at most %d), %.2f datagrams%n",
                joinedMs,
                falseSuspicions,
                falseDeaths,
                traffic.bytesPerS,
                traffic.mostBytesPerS,
                traffic.datagramsPerS);
        String noticed = String.format(
                Locale.ROOT,
                "  a claim of one held by all after %d ms%n  one killed: suspected after %d ms, dead after %d, known to all after %d%n",
                reportMs,
                detection.suspectedMs,
                detection.deadMs,
                detection.allMs);
        return title + undisturbed + noticed;
    }
}
