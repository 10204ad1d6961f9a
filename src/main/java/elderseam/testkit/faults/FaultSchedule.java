package elderseam.testkit.faults;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The members of a fault test, the terms of their leases, and the faults of each round.
 *
 * @param members how many members there are
 * @param ttlMs how long a lease lasts without renewal
 * @param driftPercent how far the members take each other's clocks to drift
 * @param electionMs the lease group's election timeout
 * @param roundMs how long a round lasts
 * @param clocks percent of true time that a member's clock shows, where it is not 100
 * @param faults those of every round, in the order of their times; empty where a {@link Nemesis} draws them
 */
record FaultSchedule(
        int members,
        long ttlMs,
        int driftPercent,
        long electionMs,
        long roundMs,
        Map<String, Integer> clocks,
        List<FaultInjection> faults) {
    /** The most members that a test may have. */
    static final int MAX_MEMBERS = 16;

    private static final int DEFAULT_MEMBERS = 3;
    private static final long DEFAULT_TTL_MS = 1_200;
    private static final int DEFAULT_DRIFT_PERCENT = 5;
    private static final long DEFAULT_ELECTION_MS = 150;
    private static final long LEASE_ROUND_MS = 2_000;

    /** Outlasts a commit that waits for a member that is cut off, the leader's lease, and the bound of a version's effect. */
    private static final long VERSION_ROUND_MS = 4_000;

    /** Outlasts the suspicion of a member that is cut off: 4 s with three members. */
    private static final long GOSSIP_ROUND_MS = 12_000;

    /** One clock that runs as much too fast as the members allow for. */
    private static final Map<String, Integer> ONE_FAST_CLOCK = Map.of("n1", 105);

    private static final int SLOW_CLOCK_PERCENT = 80;
    private static final int FAST_CLOCK_PERCENT = 120;

    /** Leases under a nemesis. */
    static FaultSchedule leases() {
        return withDefaultTerms(DEFAULT_MEMBERS, LEASE_ROUND_MS, ONE_FAST_CLOCK, List.of());
    }

    /** Configuration versions under a nemesis. */
    static FaultSchedule versions(int members) {
        return withDefaultTerms(members, VERSION_ROUND_MS, ONE_FAST_CLOCK, List.of());
    }

    /** A lease on gossip alone, whose holder is cut off for longer than it is suspected. */
    static FaultSchedule gossip() {
        List<FaultInjection> faults = List.of(FaultInjection.parse(500, "isolate n1"));
        return withDefaultTerms(DEFAULT_MEMBERS, GOSSIP_ROUND_MS, Map.of(), faults);
    }

    private static FaultSchedule withDefaultTerms(
            int members, long roundMs, Map<String, Integer> clocks, List<FaultInjection> faults) {
        return new FaultSchedule(
                members, DEFAULT_TTL_MS, DEFAULT_DRIFT_PERCENT, DEFAULT_ELECTION_MS, roundMs, clocks, faults);
    }

    /**
     * Reads a schedule from a scenario file.
     *
     * @throws elderseam.settings.SettingsFault with all that is wrong with the file
     */
    static FaultSchedule read(Path file) throws IOException {
        return new FaultScheduleFile(file).read();
    }

    /** The same with so many members. */
    FaultSchedule withMembers(int count) {
        return new FaultSchedule(count, ttlMs, driftPercent, electionMs, roundMs, clocks, faults);
    }

    /** The same with rounds of another length. */
    FaultSchedule withRoundMs(long ms) {
        return new FaultSchedule(members, ttlMs, driftPercent, electionMs, ms, clocks, faults);
    }

    /** The same with these faults. */
    FaultSchedule withFaults(List<FaultInjection> others) {
        return new FaultSchedule(members, ttlMs, driftPercent, electionMs, roundMs, clocks, List.copyOf(others));
    }

    /** The same without allowance for drift, and with clocks that drift both ways: a fault that the checker of leases has to find. */
    FaultSchedule withoutDriftAllowance() {
        Map<String, Integer> driftingClocks = new LinkedHashMap<>();
        for (int number = 1; number <= members; number++) {
            driftingClocks.put("n" + number, number == 1 ? SLOW_CLOCK_PERCENT : FAST_CLOCK_PERCENT);
        }
        return new FaultSchedule(members, ttlMs, 0, electionMs, roundMs, driftingClocks, faults);
    }
}
