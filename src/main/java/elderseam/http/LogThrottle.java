package elderseam.http;

import elderseam.core.Clock;

/** Limits how often an event is logged. Confined to the I/O thread. */
final class LogThrottle {
    private final Clock clock;
    private final long intervalNs;
    private long nextLogNs = Long.MIN_VALUE;

    /** {@code intervalNs}: the minimum time between two log lines. */
    LogThrottle(Clock clock, long intervalNs) {
        this.clock = clock;
        this.intervalNs = intervalNs;
    }

    /** Whether the event may be logged now; if so, the next interval begins. */
    boolean tryLog() {
        long now = clock.now();
        if (now < nextLogNs) {
            return false;
        }
        nextLogNs = now + intervalNs;
        return true;
    }
}
