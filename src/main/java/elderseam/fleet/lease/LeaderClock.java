package elderseam.fleet.lease;

/**
 * Generates the timestamps that one member assigns to commands while it leads the group: the table time at the start of
 * its term plus the time elapsed since then on its own monotonic clock. No wall clock is used, so an incorrect one has
 * no effect. While the leader changes, the table time does not advance, which lengthens a lease and never shortens it.
 * Between any two timestamps, whichever leaders assigned them, the table time advances by at most the true elapsed time
 * multiplied by the rate of the fastest clock.
 *
 * <p>Not thread-safe; the caller reads the arguments atomically with the table.
 */
final class LeaderClock {
    private static final long NEVER_LED = -1;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private long leadingTerm = NEVER_LED;
    private long tableTimeAtTermStartMs;
    private long termStartNs;

    /**
     * Returns the timestamp of a command in milliseconds of table time. When a member becomes leader again, it
     * continues from the current table time, because other members assigned timestamps in the meantime.
     *
     * @param term the Raft term in which this member leads
     * @param tableTimeMs the current table time, negative before the first command
     * @param nowNs the reading of the member's monotonic clock, in nanoseconds
     */
    long timestampMs(long term, long tableTimeMs, long nowNs) {
        if (term != leadingTerm) {
            leadingTerm = term;
            tableTimeAtTermStartMs = Math.max(0, tableTimeMs);
            termStartNs = nowNs;
        }
        return tableTimeAtTermStartMs + (nowNs - termStartNs) / NANOS_PER_MILLI;
    }
}
