package elderseam.fleet.lease;

import elderseam.fleet.ClockDriftBound;
import elderseam.fleet.lease.LeaseTable.Command;
import elderseam.fleet.lease.LeaseTable.Operation;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * An exhaustive model check of {@link LeaseValidity}. The model has three processes with their own clocks: two
 * successive leaders, which assign the timestamps, and the first holder. A second holder requests the lease every
 * millisecond until it is granted. The search covers every combination of the three clock rates, the delay of the first
 * grant, the time at which the leader changes, and the start and length of each operation that the first holder may
 * attempt. The model uses the production classes ({@link LeaseTable}, {@link LeaderClock}, {@link LeaseValidity}).
 *
 * <p>A schedule is unsafe if the first holder's clock permits an operation at a true time at which the second holder
 * already holds the lease. With a margin of at least the true drift there is no such schedule; without a margin, or
 * with timestamps from wall clocks that disagree, the search finds one. Stateless; used by tests.
 */
public final class LeaseValidityModel {
    private static final String LEASE = "task";
    private static final String FIRST_HOLDER = "p";
    private static final String SECOND_HOLDER = "q";
    private static final double NANOS_PER_MILLI = 1_000_000;

    /** Step sizes of the search, in hundredths of the lease's time to live. */
    private static final int GRANT_DELAY_STEP = 5;

    private static final int LEADER_CHANGE_STEP = 10;
    private static final int OPERATION_LENGTH_STEP = 4;

    /**
     * An unsafe schedule; times are milliseconds of true time.
     *
     * @param holderClockRate the rate of the first holder's clock; 1 is the rate of true time
     * @param firstLeaderClockRate the rate of the first leader's clock
     * @param secondLeaderClockRate the rate of the second leader's clock
     * @param grantDelayMs the time between the first request and its grant
     * @param leaderChangeMs when the leader changed
     * @param operationStartMs when the unsafe operation began
     * @param operationEndMs a time at which the operation was still running
     * @param secondGrantMs when the second holder was granted the lease
     */
    public record Counterexample(
            double holderClockRate,
            double firstLeaderClockRate,
            double secondLeaderClockRate,
            long grantDelayMs,
            long leaderChangeMs,
            long operationStartMs,
            long operationEndMs,
            long secondGrantMs) {}

    private final long ttlMs;
    private final long stepMs;
    private final double[] clockRates;
    private final long secondLeaderAheadMs;
    private final LeaseValidity validity;

    private LeaseValidityModel(long ttlMs, double trueDrift, long secondLeaderAheadMs, ClockDriftBound driftBound) {
        this.ttlMs = ttlMs;
        this.stepMs = Math.max(1, ttlMs / 100);
        this.clockRates = new double[] {1 - trueDrift, 1, 1 + trueDrift};
        this.secondLeaderAheadMs = secondLeaderAheadMs;
        LeaseTable.Outcome granted = new LeaseTable.Outcome(true, FIRST_HOLDER, 1, 0, 0);
        this.validity = LeaseValidity.of(granted, 0, ttlMs, driftBound);
    }

    /**
     * Explores every schedule and returns the first unsafe one, if any.
     *
     * @param ttlMs the lease's time to live in milliseconds
     * @param trueDrift the maximum deviation of the clock rates from true time, as a fraction
     * @param secondLeaderAheadMs by how much the second leader's timestamps are ahead of those of {@link LeaderClock}:
     *     0 as in production; a positive value models wall clocks that disagree
     * @param driftBound the drift bound from which the holder computes its safety margin
     */
    public static Optional<Counterexample> explore(
            long ttlMs, double trueDrift, long secondLeaderAheadMs, ClockDriftBound driftBound) {
        return new LeaseValidityModel(ttlMs, trueDrift, secondLeaderAheadMs, driftBound).exploreLeaderRates();
    }

    private Optional<Counterexample> exploreLeaderRates() {
        for (double firstRate : clockRates) {
            for (double secondRate : clockRates) {
                Optional<Counterexample> found = exploreDelays(firstRate, secondRate);
                if (found.isPresent()) {
                    return found;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<Counterexample> exploreDelays(double firstRate, double secondRate) {
        for (long delayMs = 0; delayMs <= ttlMs / 4; delayMs += GRANT_DELAY_STEP * stepMs) {
            for (long changeMs = delayMs; changeMs <= 2 * ttlMs; changeMs += LEADER_CHANGE_STEP * stepMs) {
                Optional<Counterexample> found = exploreHolderRates(firstRate, secondRate, delayMs, changeMs);
                if (found.isPresent()) {
                    return found;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<Counterexample> exploreHolderRates(
            double firstRate, double secondRate, long delayMs, long changeMs) {
        long secondGrantMs = findSecondGrantMs(firstRate, secondRate, delayMs, changeMs);
        for (double holderRate : clockRates) {
            OptionalLong unsafeStartMs = unsafeOperationStartMs(holderRate, secondGrantMs);
            if (unsafeStartMs.isPresent()) {
                return Optional.of(new Counterexample(
                        holderRate,
                        firstRate,
                        secondRate,
                        delayMs,
                        changeMs,
                        unsafeStartMs.getAsLong(),
                        secondGrantMs,
                        secondGrantMs));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the true start time of an operation that the holder's clock permits and that is still running at {@code
     * grantedMs}; empty if there is none.
     */
    private OptionalLong unsafeOperationStartMs(double holderRate, long secondGrantMs) {
        long lengthStepMs = OPERATION_LENGTH_STEP * stepMs;
        for (long startMs = 0; startMs <= 2 * ttlMs; startMs += stepMs) {
            long earliestEndMs = Math.max(startMs, secondGrantMs);
            for (long endMs = earliestEndMs; endMs <= earliestEndMs + lengthStepMs; endMs += lengthStepMs) {
                if (validity.mayAct(toClockNs(startMs, holderRate), toClockNs(endMs, holderRate))) {
                    return OptionalLong.of(startMs);
                }
            }
        }
        return OptionalLong.empty();
    }

    /** Returns the first true time at which the table grants the lease to the second holder. */
    private long findSecondGrantMs(double firstRate, double secondRate, long delayMs, long changeMs) {
        LeaseTable table = new LeaseTable();
        LeaderClock firstLeader = new LeaderClock();
        LeaderClock secondLeader = new LeaderClock();
        table.apply(acquire(FIRST_HOLDER, firstLeader.timestampMs(1, 0, toClockNs(delayMs, firstRate))));
        for (long trueMs = delayMs; ; trueMs++) {
            long timestampMs = trueMs < changeMs
                    ? firstLeader.timestampMs(1, table.tableTimeMs(), toClockNs(trueMs, firstRate))
                    : secondLeader.timestampMs(2, table.tableTimeMs(), toClockNs(trueMs, secondRate))
                            + secondLeaderAheadMs;
            if (table.apply(acquire(SECOND_HOLDER, timestampMs)).granted()) {
                return trueMs;
            }
        }
    }

    private Command acquire(String holder, long timestampMs) {
        return new Command(Operation.ACQUIRE, LEASE, holder, 0, ttlMs, timestampMs);
    }

    private static long toClockNs(long trueMs, double rate) {
        return (long) (trueMs * rate * NANOS_PER_MILLI);
    }
}
