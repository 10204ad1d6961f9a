package elderseam.gossip.security;

import java.util.Arrays;

/**
 * Which sequence numbers were received, as far back as the window reaches, with the block-wise sliding bitmap of RFC 6479. A
 * number before the window counts as received.
 */
final class ReplayWindow {
    /** Numbers that the bitmap holds; of the oldest block, some are overwritten already. */
    static final int SIZE = 1_024;

    private static final int BLOCK_BITS = Long.SIZE;
    private static final int BLOCKS = SIZE / BLOCK_BITS;

    private final long[] received = new long[BLOCKS];
    private long highest;

    /** Forgets all numbers; those near {@code sequence} are within the window from now on. */
    void reset(long sequence) {
        Arrays.fill(received, 0);
        highest = sequence;
    }

    /** Whether the number was not received yet. */
    boolean isNew(long sequence) {
        if (sequence > highest) {
            return true;
        }
        boolean isWithinWindow = sequence > highest - SIZE + BLOCK_BITS;
        return isWithinWindow && (received[index(sequence)] & bit(sequence)) == 0;
    }

    /** Notes a number as received, and moves the window on if it is the highest so far. */
    void markReceived(long sequence) {
        long block = sequence / BLOCK_BITS;
        long firstToClear = Math.max(highest / BLOCK_BITS + 1, block - BLOCKS + 1);
        for (long cleared = firstToClear; cleared <= block; cleared++) {
            received[(int) (cleared % BLOCKS)] = 0;
        }
        highest = Math.max(highest, sequence);
        received[index(sequence)] |= bit(sequence);
    }

    private static int index(long sequence) {
        return (int) (sequence / BLOCK_BITS % BLOCKS);
    }

    private static long bit(long sequence) {
        return 1L << sequence; // the shift counts modulo 64
    }
}
