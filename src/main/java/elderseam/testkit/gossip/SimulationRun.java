package elderseam.testkit.gossip;

import elderseam.gossip.GossipTimings;
import elderseam.gossip.MemberState;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One trial of a fleet's membership: it joins, runs undisturbed, loses one member, and finds out. All figures come from
 * virtual time, so one seed gives the same bytes each time.
 *
 * @param joinedMs from the first start until all held all for present, -1: never
 * @param falseSuspicions times that a member which ran was suspected by another, in the undisturbed time
 * @param falseDeaths the same, held dead
 * @param bytesPerS sent by a member, in the mean and by the one that sent most; likewise datagrams
 * @param claimMs from a breaker that opens at one until all hold its claim, -1: not within 60 s
 * @param suspectedMs from the kill until the first suspected it; deadMs: held it dead; allMs: until all did, -1: not within 120 s
 */
public record SimulationRun(
        int instances,
        double loss,
        boolean localHealth,
        long seed,
        long joinedMs,
        long falseSuspicions,
        long falseDeaths,
        long bytesPerS,
        long mostBytesPerS,
        double datagramsPerS,
        long claimMs,
        long suspectedMs,
        long deadMs,
        long allMs) {
    private static final long MS = 1_000_000;
    private static final long S = 1_000 * MS;

    public static SimulationRun run(int instances, double loss, boolean localHealth, int undisturbedS, long seed) {
        if (instances < 3 || instances > 1_000 || loss < 0 || loss > 0.9 || undisturbedS < 1) {
            throw new IllegalArgumentException(
                    "a trial has 3 to 1000 instances, a loss of 0 to 0.9, at least 1 s undisturbed");
        }
        SimulatedFleet fleet = new SimulatedFleet(
                instances,
                localHealth ? GossipTimings.DEFAULTS : GossipTimings.DEFAULTS.withoutLifeguard(),
                loss,
                loss / 10,
                seed);
        long joined = fleet.untilAgreed(300 * S);
        fleet.pass(10 * S);
        fleet.traffic();
        int before = fleet.changes().size();
        fleet.pass(undisturbedS * S);
        List<SimulatedFleet.Change> noise =
                fleet.changes().subList(before, fleet.changes().size());
        long suspicions =
                noise.stream().filter(c -> c.standing() == MemberState.SUSPECT).count();
        long deaths =
                noise.stream().filter(c -> c.standing() == MemberState.DEAD).count();
        Map<String, long[]> traffic = fleet.traffic();
        long bytes = traffic.values().stream().mapToLong(t -> t[0]).sum() / instances / undisturbedS;
        long most = traffic.values().stream().mapToLong(t -> t[0]).max().orElse(0) / undisturbedS;
        double datagrams = traffic.values().stream().mapToLong(t -> t[1]).sum() / (double) instances / undisturbedS;

        long claim = fleet.untilAllHear("n0000", 7, 60 * S);
        String lost = String.format("n%04d", instances - 1);
        int from = fleet.changes().size();
        long killed = fleet.now();
        fleet.kill(lost);
        fleet.pass(120 * S);
        long[] first = {-1, -1, -1};
        int dead = 0;
        for (SimulatedFleet.Change c :
                fleet.changes().subList(from, fleet.changes().size())) {
            if (c.of().equals(lost)) {
                long ms = (c.at() - killed) / MS;
                first[0] = first[0] < 0 && c.standing() == MemberState.SUSPECT ? ms : first[0];
                first[1] = first[1] < 0 && c.standing() == MemberState.DEAD ? ms : first[1];
                dead += c.standing() == MemberState.DEAD ? 1 : 0;
                first[2] = first[2] < 0 && dead >= instances - 1 ? ms : first[2];
            }
        }
        return new SimulationRun(
                instances,
                loss,
                localHealth,
                seed,
                joined / MS,
                suspicions,
                deaths,
                bytes,
                most,
                datagrams,
                claim < 0 ? -1 : claim / MS,
                first[0],
                first[1],
                first[2]);
    }

    /** One JSON object in one line. */
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
                bytesPerS,
                mostBytesPerS,
                datagramsPerS,
                claimMs,
                suspectedMs,
                deadMs,
                allMs);
    }

    /** The same in words. */
    public String words() {
        return String.format(
                Locale.ROOT,
                "%d instances, loss %.0f%%, local health %s, seed %d%n  joined after %d ms%n"
                        + "  suspected wrongly %d times, held dead wrongly %d times%n  %d bytes a second each (at most %d), %.2f datagrams%n"
                        + "  a claim of one held by all after %d ms%n  one killed: suspected after %d ms, dead after %d, known to all after %d%n",
                instances,
                loss * 100,
                localHealth ? "on" : "off",
                seed,
                joinedMs,
                falseSuspicions,
                falseDeaths,
                bytesPerS,
                mostBytesPerS,
                datagramsPerS,
                claimMs,
                suspectedMs,
                deadMs,
                allMs);
    }
}
