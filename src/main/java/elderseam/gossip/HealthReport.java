package elderseam.gossip;

import java.util.Comparator;

/**
 * What one member says of a destination that it calls, with the evidence. Of one reporter and destination the newest counts:
 * by incarnation of the reporter, then by its number. Durations, not times: clocks differ.
 *
 * @param waitMs how much of a told wait remained when it was issued, 0 for none
 * @param calls calls of the window, of which so many failed
 */
public record HealthReport(
        String reporter,
        long incarnation,
        long number,
        long destination,
        State state,
        int waitMs,
        int calls,
        int failures,
        int windowMs) {
    /** The reporter's breaker, as it says. */
    public enum State {
        CLOSED,
        HALF_OPEN,
        OPEN
    }

    /** Newest last. Two of one number that differ are a fault of their reporter; which counts must not depend on the order in
     *  which they came. */
    static final Comparator<HealthReport> AGE = Comparator.comparingLong(HealthReport::incarnation)
            .thenComparingLong(HealthReport::number)
            .thenComparing(HealthReport::state)
            .thenComparingInt(HealthReport::waitMs)
            .thenComparingInt(HealthReport::calls)
            .thenComparingInt(HealthReport::failures)
            .thenComparingInt(HealthReport::windowMs);

    public HealthReport {
        if (reporter.isEmpty() || waitMs < 0 || calls < 0 || failures < 0 || failures > calls || windowMs < 0) {
            throw new IllegalArgumentException(
                    "no claim: " + reporter + " " + waitMs + " " + failures + " of " + calls);
        }
    }
}
