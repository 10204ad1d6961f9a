package elderseam.testkit.emulator;

import java.util.concurrent.TimeUnit;

/** The limit of a destination on the calls of all dispatchers: a token bucket, a fixed window, or none. */
final class CallLimiter {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long MIN_BUCKET_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long MIN_WINDOW_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double MIN_BURST = 4;

    private final Scenario.Kind kind;
    private double tokens;
    private long refilledAt;
    private long window;
    private long callsInWindow;

    CallLimiter(Scenario.Kind kind) {
        this.kind = kind;
        this.tokens = burst();
    }

    /** Counts a call; returns 0 if it passes, otherwise how many nanoseconds to stay away. */
    long waitNanos(long now) {
        return switch (kind.limit()) {
            case RATE -> bucketWaitNanos(now);
            case WINDOW -> windowWaitNanos(now);
            case NONE -> 0;
        };
    }

    /** The share of the bucket that is left. */
    double headroom() {
        return Math.max(0.001, Math.min(1, tokens / burst()));
    }

    /** Calls that the bucket holds: those of a quarter of a second. */
    private double burst() {
        return Math.max(MIN_BURST, kind.callsPerSecond() / 4);
    }

    private long bucketWaitNanos(long now) {
        double refill = Math.max(0, now - refilledAt) / NANOS_PER_SECOND * kind.callsPerSecond();
        tokens = Math.min(burst(), tokens + refill);
        refilledAt = Math.max(refilledAt, now);
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        if (kind.countsRefusedCalls()) {
            tokens -= Math.min(1, tokens + burst()); // the debt ends at a full burst
        }
        return Math.max(MIN_BUCKET_WAIT_NANOS, (long) ((1 - tokens) / kind.callsPerSecond() * NANOS_PER_SECOND));
    }

    private long windowWaitNanos(long now) {
        long windowNanos = kind.windowMs() * NANOS_PER_MILLI;
        long current = now / windowNanos;
        if (current != window) {
            callsInWindow = 0;
            window = current;
        }
        boolean passes = callsInWindow < Math.max(1, kind.callsPerSecond() * kind.windowMs() / MILLIS_PER_SECOND);
        if (passes || kind.countsRefusedCalls()) {
            callsInWindow++;
        }
        return passes ? 0 : Math.max(MIN_WINDOW_WAIT_NANOS, (current + 1) * windowNanos - now);
    }
}
