package elderseam.gossip;

import java.util.Comparator;

/**
 * The state of one member's circuit breaker for a destination, with the call counts behind it. The newest report of
 * each reporter and destination replaces older ones; reports are ordered by the reporter's incarnation, then by
 * sequence. Times are durations, because the members' clocks differ.
 *
 * @param sequence increases with each report of the reporter's incarnation
 * @param retryAfterMs time left of the destination's Retry-After when the report was created; 0 for none
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
    /** Length of the window over which this version counts calls in its reports, in milliseconds. */
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

        /** Returns the byte that encodes this state in packets. */
        int wireCode() {
            return wireCode;
        }

        /**
         * Decodes a state from its byte in a packet.
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
     * Orders the reports of one reporter and destination from oldest to newest. Two different reports with the same
     * sequence come only from a faulty reporter; the other fields are compared too, so that every member keeps the same
     * one of them, regardless of the order of arrival.
     */
    static final Comparator<HealthReport> BY_AGE = Comparator.comparingLong(HealthReport::incarnation)
            .thenComparingLong(HealthReport::sequence)
            .thenComparing(HealthReport::state)
            .thenComparingInt(HealthReport::retryAfterMs)
            .thenComparingInt(HealthReport::calls)
            .thenComparingInt(HealthReport::failures)
            .thenComparingInt(HealthReport::windowMs);

    /** @throws IllegalArgumentException if {@link #isPlausible} returns false, or the reporter's name is empty */
    public HealthReport {
        if (reporter.isEmpty() || !isPlausible(retryAfterMs, calls, failures, windowMs)) {
            throw new IllegalArgumentException("invalid health report: reporter '" + reporter + "', Retry-After "
                    + retryAfterMs + " ms, " + failures + " failures of " + calls + " calls in " + windowMs + " ms");
        }
    }

    /**
     * Returns whether these values are valid in a report: none is negative, and {@code failures} is at most {@code
     * calls}.
     */
    static boolean isPlausible(int retryAfterMs, int calls, int failures, int windowMs) {
        return retryAfterMs >= 0 && calls >= 0 && failures >= 0 && failures <= calls && windowMs >= 0;
    }
}
