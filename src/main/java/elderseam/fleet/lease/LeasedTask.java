package elderseam.fleet.lease;

import java.util.OptionalLong;

/**
 * Decides whether a member performs a fleet-wide task itself. The lease holder performs the task and publishes the
 * result; the other members use the published result while it is fresh. If no result has been published for too long,
 * whatever the reason (no holder, no majority, a holder that cannot reach the systems that the task needs), each member
 * performs the task itself, as without a fleet: the lease avoids duplicate work but must never prevent the task.
 *
 * <p>Does no I/O; not thread-safe. Times are nanoseconds of the member's monotonic clock.
 */
public final class LeasedTask {
    private final long maxAgeNs;
    private OptionalLong lastPublishedNs = OptionalLong.empty();

    /** {@code maxAgeNs}: how long a published result is considered fresh. */
    public LeasedTask(long maxAgeNs) {
        this.maxAgeNs = maxAgeNs;
    }

    /** The holder has published a result, possibly an unchanged one. */
    public void onPublished(long nowNs) {
        lastPublishedNs = OptionalLong.of(nowNs);
    }

    /** Whether this member performs the task now. */
    public boolean isPerformedHere(long nowNs, boolean holdsLease) {
        boolean isFresh = lastPublishedNs.isPresent() && nowNs - lastPublishedNs.getAsLong() <= maxAgeNs;
        return holdsLease || !isFresh;
    }
}
