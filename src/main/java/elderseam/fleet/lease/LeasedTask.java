package elderseam.fleet.lease;

/**
 * Whether a member does a fleet-wide task itself. The holder does it and publishes what it found; the others go by what is
 * published, and only while that is fresh. Where nothing was published for {@code staleNs}, whatever the cause (no holder, no
 * majority, a holder that is cut off from what the task is about), each does it for itself as if there were no fleet: the
 * lease spares work, and never stands in its way. No I/O; times are nanoseconds of the member's clock.
 */
public final class LeasedTask {
    private final long staleNs;
    private long heardAt;
    private boolean heard;

    public LeasedTask(long staleNs) {
        this.staleNs = staleNs;
    }

    /** Something was published, be it that nothing is new. */
    public void published(long now) {
        heard = true;
        heardAt = now;
    }

    /** Whether this member does the task now; {@code holds}: it has the lease. */
    public boolean own(long now, boolean holds) {
        return holds || !heard || now - heardAt > staleNs;
    }
}
