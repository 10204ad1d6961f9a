package elderseam.core;

import java.util.HashMap;
import java.util.Map;

/** Counts attempts in flight in total and, once enabled, per destination. Confined to the event-loop thread. */
final class AttemptCounter {
    private final Map<Long, int[]> byDestination = new HashMap<>();
    private boolean countsDestinations;
    private int total;

    /** Enables the counts per destination. */
    void countByDestination() {
        countsDestinations = true;
    }

    /** Adds {@code change}: 1 when an attempt begins, -1 when it ends. */
    void add(long destination, int change) {
        total += change;
        if (!countsDestinations) {
            return;
        }
        int[] count = byDestination.computeIfAbsent(destination, absent -> new int[1]);
        count[0] = Math.max(0, count[0] + change); // an attempt begun before this count was enabled was never added
        if (count[0] == 0) {
            byDestination.remove(destination);
        }
    }

    /** Total number of attempts in flight. */
    int total() {
        return total;
    }

    /** Attempts in flight to a destination, of those begun since {@link #countByDestination}. */
    int inFlightTo(long destination) {
        int[] count = byDestination.get(destination);
        return count == null ? 0 : count[0];
    }
}
