package elderseam.gossip;

import java.util.Comparator;

/**
 * What one member's circuit breaker does at a destination, with the evidence. Of one reporter and destination the newest
 * report counts: by the reporter's incarnation, then by sequence. Times are durations, because the members' clocks differ.
 *
 * @param sequence rises with each report of the reporter's incarnation
 * @param retryAfterMs what remained of the destination's Retry-After when the report was made, 0 for none
 * @param calls calls within the window
 * @param failures how many of {@code calls} failed
 * @param windowMs length of the window in milliseconds
 */
public record HealthReport(
        String reporter,
        long incarnation,
        long sequence,
        long destination,
        State state,
        int retryAfterMs,
        int calls,
        int failures,
        int windowMs) {
    /** Window of the calls that this build's reports count, in milliseconds. */
    public static final int WINDOW_MS = 10_000;

    /** The state of the reporter's circuit breaker. */
    public enum State {
        CLOSED(0),
        HALF_OPEN(1),
        OPEN(2);

        private static final State[] BY_WIRE_CODE = {CLOSED, HALF_OPEN, OPEN};

        private final int wireCode;

        State(int wireCode) {
            this.wireCode = wireCode;
        }

        /** The byte that stands for this state in packets. */
        int wireCode() {
            return wireCode;
        }

        /**
         * Returns the state of a byte in a packet.
         *
         * @throws MalformedPacketException if no state has that code
         */
        static State fromWireCode(int wireCode) {
            if (wireCode < 0 || wireCode >= BY_WIRE_CODE.length) {
                throw new MalformedPacketException();
            }
            return BY_WIRE_CODE[wireCode];
        }
    }

    /**
     * Oldest first. A reporter that gives two different reports one sequence is faulty; all fields are compared so that every
     * member keeps the same one, whatever the order of arrival.
     */
    static final Comparator<HealthReport> BY_AGE = Comparator.comparingLong(HealthReport::incarnation)
            .thenComparingLong(HealthReport::sequence)
            .thenComparing(HealthReport::state)
            .thenComparingInt(HealthReport::retryAfterMs)
            .thenComparingInt(HealthReport::calls)
            .thenComparingInt(HealthReport::failures)
            .thenComparingInt(HealthReport::windowMs);

    /** @throws IllegalArgumentException if {@link #isPlausible} says no, or the reporter's name is empty */
    public HealthReport {
        if (reporter.isEmpty() || !isPlausible(retryAfterMs, calls, failures, windowMs)) {
            throw new IllegalArgumentException("not a health report: reporter '" + reporter + "', Retry-After "
                    + retryAfterMs + " ms, " + failures + " failures of " + calls + " calls in " + windowMs + " ms");
        }
    }

    /** Whether a report may hold these figures: none is negative, and no more calls failed than were made. */
    static boolean isPlausible(int retryAfterMs, int calls, int failures, int windowMs) {
        return retryAfterMs >= 0 && calls >= 0 && failures >= 0 && failures <= calls && windowMs >= 0;
    }
}
