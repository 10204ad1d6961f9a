package elderseam.core;

/**
 * A monotonic clock and a wall clock. Inside a process every time is one of {@link #now}; what must outlast the
 * process is written as wall-clock milliseconds. The emulator overrides both with virtual time. Thread-safe.
 */
public class Clock {
    /** Nanoseconds in a millisecond. */
    public static final long MILLISECOND_NS = 1_000_000L;

    /** Monotonic time in nanoseconds, from an arbitrary origin that may be negative. */
    public long now() {
        return System.nanoTime();
    }

    /** The wall clock, in milliseconds since the epoch. */
    public long wallMs() {
        return System.currentTimeMillis();
    }

    /** The wall-clock milliseconds of a monotonic time. */
    public final long toWall(long time) {
        return wallMs() + Math.floorDiv(time - now(), MILLISECOND_NS);
    }

    /** The monotonic time of wall-clock milliseconds. */
    public final long fromWall(long wallMs) {
        return now() + (wallMs - wallMs()) * MILLISECOND_NS;
    }
}
