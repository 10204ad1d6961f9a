package elderseam.core;

import java.util.HashMap;
import java.util.Map;

/** Counts attempts in flight, by destination too once that is asked for. Confined to the event-loop thread. */
final class AttemptCounter {
    private final Map<Long, int[]> byDestination = new HashMap<>();
    private boolean countsDestinations;
    private int total;

    /** Begins to count by destination. */
    void countByDestination() {
        countsDestinations = true;
    }

    /** Adds 1 for an attempt that begins, -1 for one that ends. */
    void add(long destination, int change) {
        total += change;
        if (!countsDestinations) {
            return;
        }
        int[] count = byDestination.computeIfAbsent(destination, absent -> new int[1]);
        count[0] = Math.max(0, count[0] + change); // some may have begun before the counting
        if (count[0] == 0) {
            byDestination.remove(destination);
        }
    }

    /** All attempts in flight. */
    int total() {
        return total;
    }

    /** Those to one destination, of the attempts begun since the counting by destination did. */
    int of(long destination) {
        int[] count = byDestination.get(destination);
        return count == null ? 0 : count[0];
    }
}
