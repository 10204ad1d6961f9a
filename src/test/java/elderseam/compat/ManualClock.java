package elderseam.compat;

import elderseam.core.Clock;

/** Stands still until a test moves it; the wall clock goes with it. */
public final class ManualClock extends Clock {
    private static final long WALL_MS = 1_790_000_000_000L;

    private long nowNs;

    public ManualClock(long nowNs) {
        this.nowNs = nowNs;
    }

    public void pass(long ns) {
        nowNs += ns;
    }

    @Override
    public long now() {
        return nowNs;
    }

    /** Unknown, so that journals hold the same bytes on every machine. */
    @Override
    public String bootId() {
        return "";
    }

    @Override
    public long wallMs() {
        return WALL_MS + nowNs / MILLISECOND_NS;
    }
}
