package elderseam.fleet.partition;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Estimates how many dispatchers share the destinations. Each divides a limit by the estimate, so it errs on the high
 * side: a member that joins counts at once, one that leaves still counts for a hold time, during which it may only have
 * been unreachable. So after many members leave, the rest stay below the limit for the hold time plus what gossip takes to
 * notice, and the sum of all parts exceeds the limit by no more than the members that joined and were not seen yet.
 *
 * <p>The error: with {@code a} members that joined and are not seen yet, and {@code g} that left and still count, of
 * {@code n} present, the estimate is {@code n - a + g}.
 *
 * <p>Does no I/O; not thread-safe. Times are nanoseconds of one monotonic clock.
 */
public final class FleetSizeEstimator {
    private record Observation(long atNs, int present) {}

    private final int advertisedSize;
    private final long holdNs;
    /** In the order of time, with decreasing sizes: each was the greatest since it was observed. */
    private final Deque<Observation> maxima = new ArrayDeque<>();

    /**
     * @param advertisedSize the size that the platform or the operator advertises, 1 if neither does; used until the
     *     first observation
     * @param holdNs how long a member that left still counts
     */
    public FleetSizeEstimator(int advertisedSize, long holdNs) {
        this.advertisedSize = advertisedSize;
        this.holdNs = holdNs;
    }

    /** Observes how many members are present now, this one among them. */
    public void observe(long nowNs, int present) {
        while (!maxima.isEmpty() && maxima.getLast().present < present) {
            maxima.removeLast();
        }
        boolean isNewSize = maxima.isEmpty() || maxima.getLast().present > present;
        if (isNewSize) {
            maxima.addLast(new Observation(nowNs, present));
        }
    }

    /** Returns by how many to divide what all may do together: the most that were present within the hold time. */
    public int estimate(long nowNs) {
        if (maxima.isEmpty()) {
            return advertisedSize;
        }
        while (maxima.size() > 1 && nowNs - secondMaximum().atNs >= holdNs) {
            maxima.removeFirst();
        }
        return maxima.getFirst().present;
    }

    /** The size that replaced the first one; the first was present until then and counts for the hold time after it. */
    private Observation secondMaximum() {
        Iterator<Observation> inOrder = maxima.iterator();
        inOrder.next();
        return inOrder.next();
    }
}
