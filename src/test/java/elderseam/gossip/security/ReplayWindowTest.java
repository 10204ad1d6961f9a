package elderseam.gossip.security;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each number once, in any order, as far back as the window reaches. */
class ReplayWindowTest {
    private static final long FIRST = 1_000_000;
    private static final long CERTAIN_BACKLOG = ReplayWindow.SIZE - Long.SIZE; // before the block that is overwritten

    private final ReplayWindow window = new ReplayWindow();

    @BeforeEach
    void receiveFirst() {
        window.reset(FIRST);
        window.markReceived(FIRST);
    }

    @Test
    void aNumberIsNewOnce() {
        assertFalse(window.isNew(FIRST));
        assertTrue(window.isNew(FIRST + 1));
        window.markReceived(FIRST + 1);
        assertFalse(window.isNew(FIRST + 1));
    }

    @Test
    void numbersMayArriveInAnyOrder() {
        window.markReceived(FIRST + 500);
        for (long sequence = FIRST + 499; sequence > FIRST; sequence--) {
            assertTrue(window.isNew(sequence), "" + sequence);
            window.markReceived(sequence);
            assertFalse(window.isNew(sequence), "" + sequence);
        }
    }

    @Test
    void numbersBeforeTheWindowAreNotNew() {
        window.markReceived(FIRST + ReplayWindow.SIZE);
        assertFalse(window.isNew(FIRST + 1));
        assertTrue(window.isNew(FIRST + ReplayWindow.SIZE - CERTAIN_BACKLOG + 1));
    }

    /** The bitmap is a ring: what an earlier lap has marked must not count for the next. */
    @Test
    void aLeapOverTheWholeWindowForgetsAllNumbers() {
        for (long sequence = FIRST; sequence < FIRST + ReplayWindow.SIZE; sequence++) {
            window.markReceived(sequence);
        }
        long afterLeap = FIRST + 10 * ReplayWindow.SIZE;
        window.markReceived(afterLeap);
        for (long sequence = afterLeap - CERTAIN_BACKLOG + 1; sequence < afterLeap; sequence++) {
            assertTrue(window.isNew(sequence), "" + sequence);
        }
    }

    @Test
    void aResetForgetsAllNumbers() {
        window.reset(FIRST);
        assertTrue(window.isNew(FIRST));
    }
}
