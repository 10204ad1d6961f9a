package elderseam.fleet.lease;

/**
 * The stamps that one member gives while it leads: the table's time as it stood when its term began, and what its own
 * monotonic clock has shown since. No wall clock is read, so none can be wrong; where the lead passes on, the table's time
 * stands still for the change and a lease gets longer, never shorter. Between any two stamps, of whichever leaders, the
 * table's time has moved by no more than true time did, times the rate of the fastest clock.
 *
 * <p>Not thread-safe; what it is given must be read in one step with the table.
 */
final class LeaderClock {
    private long term = -1, baseMs, fromNs;

    /** The stamp in milliseconds of the table's time, in the leader's {@code term}, at {@code nowNs} of its clock. */
    long stamp(long term, long tableMs, long nowNs) {
        if (term != this.term) { // a lead that was lost and won back begins anew: others stamped meanwhile
            this.term = term;
            baseMs = Math.max(0, tableMs);
            fromNs = nowNs;
        }
        return baseMs + (nowNs - fromNs) / 1_000_000;
    }
}
