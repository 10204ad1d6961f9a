package elderseam.core;

/** A clock with a configurable rate and offset error, for fault tests of a fleet of processes. Thread-safe. */
public final class SkewedClock extends Clock {
    private final double rate;
    private final long offsetMs;
    private final long startNs = System.nanoTime();
    private final long startWallMs = System.currentTimeMillis();

    private SkewedClock(double rate, long offsetMs) {
        this.rate = rate;
        this.offsetMs = offsetMs;
    }

    /**
     * Creates a clock that runs at {@code rate} times the true rate and whose wall clock is {@code offsetMs}
     * milliseconds ahead. The return type is {@link Clock} so that a caller that never creates one does not load this
     * class.
     */
    public static Clock of(double rate, long offsetMs) {
        return new SkewedClock(rate, offsetMs);
    }

    @Override
    public long now() {
        return startNs + (long) ((System.nanoTime() - startNs) * rate);
    }

    @Override
    public long wallMs() {
        return startWallMs + offsetMs + (long) ((System.currentTimeMillis() - startWallMs) * rate);
    }
}
