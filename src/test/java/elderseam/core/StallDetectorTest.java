package elderseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a thread counts as late, and what time it was away. */
class StallDetectorTest {
    private static final long START = -7_000_000_000L; // nanoTime may be negative
    private final StallDetector lateness = new StallDetector(START);

    @Test
    void aBeatInTimeOrALittleLateIsNothing() {
        long now = START;
        for (int i = 0; i < 100; i++) {
            now = lateness.beat(now) + (i % 5) * 10 * Clock.MS;
            assertFalse(lateness.late(now));
        }
        assertEquals(0, lateness.caughtUp());
        assertEquals(0, lateness.longest());
    }

    /** Late from the first event after the pause on, whatever event it is, until all was read; then no more. */
    @Test
    void aPauseCountsOnceAndLastsUntilAllIsRead() {
        long due = lateness.beat(START);
        long back = due + 700 * Clock.MS;
        assertTrue(lateness.late(back));
        assertTrue(lateness.late(back + Clock.MS), "nothing was read yet");
        lateness.beat(back + 2 * Clock.MS);
        assertTrue(lateness.late(back + 2 * Clock.MS), "a beat reads nothing");
        assertEquals(700 * Clock.MS, lateness.caughtUp());
        assertFalse(lateness.late(back + 3 * Clock.MS));
        assertEquals(0, lateness.caughtUp(), "it is told once");
        assertEquals(700 * Clock.MS, lateness.longest());
    }

    /** A second pause before all was read adds to the first. */
    @Test
    void pausesAddUp() {
        long due = lateness.beat(START);
        lateness.late(due + 100 * Clock.MS);
        lateness.late(due + 100 * Clock.MS + StallDetector.BEAT_NS + 300 * Clock.MS);
        assertEquals(400 * Clock.MS, lateness.caughtUp());
        assertEquals(300 * Clock.MS, lateness.longest());
    }
}
