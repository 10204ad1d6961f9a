package elderseam.core;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A monotonic clock, a wall clock, and a steady clock derived from both. Within a process, every time is a value of
 * {@link #now}. Times that must outlast the process are stored as milliseconds of the steady clock, which is not
 * affected when the wall clock is stepped. The emulator overrides the monotonic clock and the wall clock with virtual
 * time. Thread-safe.
 */
public class Clock {
    /** Nanoseconds in a millisecond. */
    public static final long MILLISECOND_NS = 1_000_000L;

    /**
     * Contains an id of this boot of the machine. On Linux, the monotonic clock is the same for all processes of one
     * boot.
     */
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    private volatile String bootId; // null until read
    private boolean anchored;
    private long steadyOffsetMs; // steady clock minus monotonic clock

    /** Monotonic time in nanoseconds, from an arbitrary origin that may be negative. */
    public long now() {
        return System.nanoTime();
    }

    /** The wall clock, in milliseconds since the epoch; it may be stepped at any time. */
    public long wallMs() {
        return System.currentTimeMillis();
    }

    /**
     * The id of this boot of the machine; empty if unknown. Read only once, because a process does not outlive the
     * boot.
     */
    public String bootId() {
        if (bootId == null) {
            bootId = readBootId();
        }
        return bootId;
    }

    private static String readBootId() {
        try {
            return Files.readString(BOOT_ID_FILE).strip();
        } catch (IOException e) {
            return "";
        }
    }

    /** The monotonic clock in milliseconds. */
    final long monotonicMs() {
        return Math.floorDiv(now(), MILLISECOND_NS);
    }

    /**
     * The steady clock in milliseconds since the epoch: the wall clock as of the first call, advanced by the monotonic
     * clock. After {@link #continueSteady} it continues the steady clock of an earlier process instead.
     */
    public final synchronized long steadyMs() {
        if (!anchored) {
            anchored = true;
            steadyOffsetMs = wallMs() - monotonicMs();
        }
        return monotonicMs() + steadyOffsetMs;
    }

    /**
     * Continues the steady clock of an earlier process, which read {@code steadyMs} when the monotonic clock read
     * {@code monotonicMs}. Returns false, and changes nothing, if that was during another boot.
     */
    final synchronized boolean continueSteady(String bootId, long monotonicMs, long steadyMs) {
        if (bootId.isEmpty() || !bootId.equals(bootId()) || monotonicMs > monotonicMs()) {
            return false;
        }
        anchored = true;
        steadyOffsetMs = steadyMs - monotonicMs;
        return true;
    }

    /** Converts a monotonic time to milliseconds of the steady clock. */
    public final long toSteady(long time) {
        return steadyMs() + Math.floorDiv(time - now(), MILLISECOND_NS);
    }

    /** Converts milliseconds of the steady clock to a monotonic time. */
    public final long fromSteady(long steadyMs) {
        return now() + (steadyMs - steadyMs()) * MILLISECOND_NS;
    }

    /**
     * Converts milliseconds of the wall clock, past or future, to a monotonic time. Exact only if the wall clock is not
     * stepped in between.
     */
    public final long fromWall(long wallMs) {
        return now() + (wallMs - wallMs()) * MILLISECOND_NS;
    }
}
