package elderseam.core;

/**
 * The two clocks. In the process every time is of {@link #now}, in nanoseconds that never run backwards; what
 * must outlast the process is written as wall-clock milliseconds. In the emulator both are of virtual time.
 */
public class Clock {
    public static final long MS = 1_000_000L;

    public long now() {
        return System.nanoTime();
    }

    /** The wall clock, in milliseconds. */
    public long wallMs() {
        return System.currentTimeMillis();
    }

    public final long toWall(long time) {
        return wallMs() + Math.floorDiv(time - now(), MS);
    }

    public final long fromWall(long wallMs) {
        return now() + (wallMs - wallMs()) * MS;
    }
}
