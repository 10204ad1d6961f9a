package elderseam.fleet.lease;

import java.util.OptionalLong;

/**
 * Whether a member performs a fleet-wide task itself. The lease holder performs it and publishes the result; the others
 * use what is published, as long as it is fresh. If nothing was published for too long, for whatever reason (no holder, no
 * majority, a holder that is cut off from what the task is about), each member performs it for itself as if there were no
 * fleet: the lease saves work and never prevents it.
 *
 * <p>Does no I/O; not thread-safe. Times are nanoseconds of the member's monotonic clock.
 */
public final class LeasedTask {
    private final long maxAgeNs;
    private OptionalLong lastPublishedNs = OptionalLong.empty();

    /** {@code maxAgeNs}: how long a published result counts as fresh. */
    public LeasedTask(long maxAgeNs) {
        this.maxAgeNs = maxAgeNs;
    }

    /** The holder has published a result, even if only that nothing has changed. */
    public void onPublished(long nowNs) {
        lastPublishedNs = OptionalLong.of(nowNs);
    }

    /** Whether this member performs the task now. */
    public boolean isPerformedHere(long nowNs, boolean holdsLease) {
        boolean isFresh = lastPublishedNs.isPresent() && nowNs - lastPublishedNs.getAsLong() <= maxAgeNs;
        return holdsLease || !isFresh;
    }
}
