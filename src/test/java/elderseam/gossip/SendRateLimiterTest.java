package elderseam.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What two token buckets let pass of a flood. */
class SendRateLimiterTest {
    private static final long SECOND_NS = 1_000_000_000L;
    private static final int BYTES_PER_SECOND = 10_000;
    private static final int DATAGRAMS_PER_SECOND = 20;

    private final SendRateLimiter limiter = new SendRateLimiter(BYTES_PER_SECOND, DATAGRAMS_PER_SECOND, 0);

    /** How many of {@code attempts} datagrams, evenly over a second, may be sent. */
    private int sentWithinASecond(int attempts, int size, long startNs) {
        int sent = 0;
        for (int i = 0; i < attempts; i++) {
            sent += limiter.tryAcquire(size, startNs + i * SECOND_NS / attempts) ? 1 : 0;
        }
        return sent;
    }

    /** A second's worth, and what the second adds; the rest is refused and counted. */
    @Test
    void bothLimitsBind() {
        assertEquals(2 * DATAGRAMS_PER_SECOND - 1, sentWithinASecond(10_000, 100, 0), "by datagrams");
        assertEquals(10_000 - 39, limiter.refusedCount());
        assertEquals(14, sentWithinASecond(1_000, 1_400, 10 * SECOND_NS), "by bytes");
    }
}
