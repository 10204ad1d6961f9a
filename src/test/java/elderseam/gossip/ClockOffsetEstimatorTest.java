package elderseam.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The age of what a member stamped, whose clock is two minutes ahead. */
class ClockOffsetEstimatorTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND_NS = 1_000 * MS;
    private static final long AHEAD_MS = 120_000;
    private static final long WALL_MS = 1_000_000;

    private final ClockOffsetEstimator clocks = new ClockOffsetEstimator();

    /** A packet arrives that was sent {@code delayMs} ago. */
    private void observe(long delayMs, long nowNs) {
        long wallMs = WALL_MS + nowNs / MS;
        clocks.observe("b", wallMs - delayMs + AHEAD_MS, wallMs, nowNs);
    }

    /** The age of what the member stamped at the start, at {@code nowNs}. */
    private long ageMs(long nowNs) {
        return clocks.ageMs("b", WALL_MS + AHEAD_MS, WALL_MS + nowNs / MS);
    }

    /** To the millisecond: the estimate decays by fractions of one. */
    private static void assertAge(long expectedMs, long ageMs) {
        assertTrue(Math.abs(ageMs - expectedMs) <= 1, ageMs + " ms");
    }

    @Test
    void theOffsetIsCorrected() {
        observe(0, 0);
        assertEquals(0, ageMs(0));
        assertEquals(5_000, ageMs(5 * SECOND_NS));
    }

    @Test
    void theFastestPacketCounts() {
        observe(300, 0);
        observe(0, MS);
        observe(200, 2 * MS);
        assertAge(5_000, ageMs(5 * SECOND_NS));
    }

    @Test
    void aStampOfTheFutureIsNew() {
        observe(300, 0);
        assertEquals(0, ageMs(0));
    }

    /** By a thousandth of the time that passes. */
    @Test
    void anOldEstimateDecays() {
        observe(0, 0);
        observe(1_000, 100 * SECOND_NS);
        assertAge(100_000 - 100, ageMs(100 * SECOND_NS));
    }

    @Test
    void withoutAPacketTheAgeIsUnknown() {
        assertEquals(0, ageMs(5 * SECOND_NS));
        observe(0, 0);
        clocks.remove("b");
        assertEquals(0, ageMs(5 * SECOND_NS));
    }
}
