package elderseam.fleet.partition;

import java.util.ArrayDeque;

/**
 * How many dispatchers share the destinations. Each divides a limit by it, so it errs to the high side: one that comes counts
 * at once, one that goes after {@code holdNs}, in which it may only have been unheard. So after a herd has gone the rest stay
 * below the limit for {@code holdNs} and what gossip takes to notice, and the sum of all shares is never above the limit by more
 * than those who came and were not seen yet.
 *
 * <p>The error: with {@code a} members that came and are not seen yet, and {@code g} that have gone and count still, of {@code n}
 * there, the estimate is {@code n - a + g}. Times are nanoseconds of one monotonic clock.
 */
public final class FleetSizeEstimator {
    private record Seen(long at, int present) {}

    private final int told;
    private final long holdNs;
    private final ArrayDeque<Seen> greatest =
            new ArrayDeque<>(); // falling numbers: each was the greatest since it was seen

    /** {@code told}: by the platform or the operator; it counts until something is seen, and is 1 where nobody says. */
    public FleetSizeEstimator(int told, long holdNs) {
        this.told = told;
        this.holdNs = holdNs;
    }

    /** So many are there now, this one among them. */
    public void seen(long now, int present) {
        while (!greatest.isEmpty() && greatest.getLast().present < present) {
            greatest.removeLast();
        }
        if (greatest.isEmpty()
                || greatest.getLast().present > present) { // the same again is there since it was first seen
            greatest.addLast(new Seen(now, present));
        }
    }

    /** By how many to divide what all may do together: the most that were there within the hold. */
    public int sharers(long now) {
        if (greatest.isEmpty()) {
            return told;
        }
        while (greatest.size()
                > 1) { // a number was there until the next, lower one was seen: it counts for the hold after that
            Seen next = greatest.stream().skip(1).findFirst().orElseThrow();
            if (now - next.at < holdNs) {
                break;
            }
            greatest.removeFirst();
        }
        return greatest.getFirst().present;
    }
}
