package elderseam.gossip.security;

import java.util.Arrays;

/**
 * Records which sequence numbers were received, in a sliding window, by the block-wise bitmap of RFC 6479. A number
 * before the window counts as received. Not thread-safe.
 */
final class ReplayWindow {
    /**
     * How many sequence numbers the bitmap covers. The oldest block is partly overwritten, so the usable window is one
     * block shorter.
     */
    static final int SIZE = 1_024;

    private static final int BLOCK_BITS = Long.SIZE;
    private static final int BLOCKS = SIZE / BLOCK_BITS;

    private final long[] received = new long[BLOCKS];
    private long highest;

    /** Forgets all numbers and moves the window so that it ends at {@code sequence}. */
    void reset(long sequence) {
        Arrays.fill(received, 0);
        highest = sequence;
    }

    /** Whether the number is within or after the window and was not received yet. */
    boolean isNew(long sequence) {
        if (sequence > highest) {
            return true;
        }
        boolean isWithinWindow = sequence > highest - SIZE + BLOCK_BITS;
        return isWithinWindow && (received[blockIndex(sequence)] & bitMask(sequence)) == 0;
    }

    /** Records a number as received, and advances the window if the number is the highest so far. */
    void markReceived(long sequence) {
        long block = sequence / BLOCK_BITS;
        long firstToClear = Math.max(highest / BLOCK_BITS + 1, block - BLOCKS + 1);
        for (long cleared = firstToClear; cleared <= block; cleared++) {
            received[(int) (cleared % BLOCKS)] = 0;
        }
        highest = Math.max(highest, sequence);
        received[blockIndex(sequence)] |= bitMask(sequence);
    }

    private static int blockIndex(long sequence) {
        return (int) (sequence / BLOCK_BITS % BLOCKS);
    }

    private static long bitMask(long sequence) {
        return 1L << sequence; // Java takes the shift distance modulo 64
    }
}
