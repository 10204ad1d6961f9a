package elderseam.core;

/** A clock that runs fast or slow, for rehearsals of a fleet: its rate times true time since the process began, and an offset. */
public final class SkewedClock extends Clock {
    private final double rate;
    private final long offsetMs, fromNs = System.nanoTime(), fromMs = System.currentTimeMillis();

    /**
     * {@code rate}: seconds shown for each that passes; {@code offsetMs}: how far the wall clock stands ahead. Given as a
     * Clock, so that whoever may never ask for one need not load this class: on the platform {@link Clock} has no other kind.
     */
    public static Clock bent(double rate, long offsetMs) {
        return new SkewedClock(rate, offsetMs);
    }

    private SkewedClock(double rate, long offsetMs) {
        this.rate = rate;
        this.offsetMs = offsetMs;
    }

    @Override
    public long now() {
        return fromNs + (long) ((System.nanoTime() - fromNs) * rate);
    }

    @Override
    public long wallMs() {
        return fromMs + offsetMs + (long) ((System.currentTimeMillis() - fromMs) * rate);
    }
}
