package elderseam.fleet.partition;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Estimates how many dispatchers share the destinations. Each dispatcher divides limits by its estimate, so the
 * estimate errs on the high side: a member that joins counts immediately, and a member that leaves continues to count
 * for a hold time, because it may only have been unreachable. After many members have left, the others therefore stay
 * below the limit together for the hold time plus the time that gossip needs to detect the departures. The sum of all
 * shares exceeds the limit by no more than the shares of members that have joined but are not detected yet.
 *
 * <p>If {@code n} members are present, {@code a} of them have joined but are not detected yet, and {@code g} others
 * have left but still count, the estimate is {@code n - a + g}.
 *
 * <p>Does no I/O; not thread-safe. Times are nanoseconds of one monotonic clock.
 */
public final class FleetSizeEstimator {
    private record Observation(long observedAtNs, int memberCount) {}

    private final int advertisedSize;
    private final long holdNs;
    /** In order of time, with decreasing sizes: no later observation was as large as the one recorded. */
    private final Deque<Observation> maxima = new ArrayDeque<>();

    /**
     * @param advertisedSize the fleet size that the platform or the operator advertises, 1 if neither does; used until
     *     the first observation
     * @param holdNs how long a member that has left continues to count
     */
    public FleetSizeEstimator(int advertisedSize, long holdNs) {
        this.advertisedSize = advertisedSize;
        this.holdNs = holdNs;
    }

    /** Records how many members are present now, including this one. */
    public void observe(long nowNs, int memberCount) {
        while (!maxima.isEmpty() && maxima.getLast().memberCount < memberCount) {
            maxima.removeLast();
        }
        boolean differsFromLast = maxima.isEmpty() || maxima.getLast().memberCount > memberCount;
        if (differsFromLast) {
            maxima.addLast(new Observation(nowNs, memberCount));
        }
    }

    /**
     * Returns the divisor for limits that all members share: the greatest number of members present within the hold
     * time.
     */
    public int estimate(long nowNs) {
        if (maxima.isEmpty()) {
            return advertisedSize;
        }
        while (maxima.size() > 1 && nowNs - secondMaximum().observedAtNs >= holdNs) {
            maxima.removeFirst();
        }
        return maxima.getFirst().memberCount;
    }

    /**
     * Returns the observation that replaced the first maximum, which was present until then and counts for the hold
     * time after it.
     */
    private Observation secondMaximum() {
        Iterator<Observation> iterator = maxima.iterator();
        iterator.next();
        return iterator.next();
    }
}
