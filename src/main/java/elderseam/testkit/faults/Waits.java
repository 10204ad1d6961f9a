package elderseam.testkit.faults;

import java.io.IOException;

/** Bounded waits of a fault test; an interrupt ends each with an IOException, and stays set on the thread. */
final class Waits {
    static final long NANOS_PER_MS = 1_000_000;
    static final long NANOS_PER_SECOND = 1_000_000_000;

    private Waits() {}

    /** The instant so many seconds from now, of System.nanoTime(). */
    static long deadlineInSeconds(long seconds) {
        return System.nanoTime() + seconds * NANOS_PER_SECOND;
    }

    /** Sleeps so many milliseconds; not at all where they are negative. */
    static void sleep(long ms) throws IOException {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw interrupted(e);
        }
    }

    /**
     * Waits until {@code lock}, which the caller holds, is notified, or until {@code deadlineNs} of System.nanoTime(); false
     * where that has passed already. The caller loops until what it waits for holds.
     */
    @SuppressWarnings("WaitNotInLoop") // the callers loop
    static boolean awaitNotify(Object lock, long deadlineNs) throws IOException {
        long leftMs = (deadlineNs - System.nanoTime()) / NANOS_PER_MS;
        if (leftMs <= 0) {
            return false;
        }
        try {
            lock.wait(leftMs);
        } catch (InterruptedException e) {
            throw interrupted(e);
        }
        return true;
    }

    private static IOException interrupted(InterruptedException e) {
        Thread.currentThread().interrupt();
        return new IOException(e);
    }
}
