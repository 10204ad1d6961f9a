package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class KeyedRateLimiterTest {
    private static final long SECOND_NS = 1_000_000_000L;

    private static KeyedRateLimiter limiter(double ratePerSecond, int burst, int maxKeys) {
        return new KeyedRateLimiter("limit", ratePerSecond, burst, maxKeys);
    }

    /** Takes a token if the request conforms; returns whether it did. */
    private static boolean tryTake(KeyedRateLimiter limiter, String key, long nowNs) {
        boolean conforms = limiter.waitNs(key, nowNs) == 0;
        if (conforms) {
            limiter.take(key, nowNs);
        }
        return conforms;
    }

    @Property(tries = 200, seed = "9")
    void admitsWhatALeakyBucketAdmits(@ForAll long seed) {
        Random random = new Random(seed);
        int burst = 1 + random.nextInt(20);
        double ratePerSecond = 1 + random.nextInt(50);
        KeyedRateLimiter limiter = limiter(ratePerSecond, burst, 10);
        long intervalNs = Math.round(1e9 / ratePerSecond);
        double modelLevelNs = 0;
        long nowNs = 0;
        for (int i = 0; i < 500; i++) {
            long passedNs = (long) (random.nextDouble() * 2 * intervalNs);
            nowNs += passedNs;
            modelLevelNs = Math.max(0, modelLevelNs - passedNs);
            boolean conforms = modelLevelNs <= intervalNs * (burst - 1.0);
            assertEquals(conforms, tryTake(limiter, "key", nowNs), "at " + i);
            modelLevelNs += conforms ? intervalNs : 0;
        }
    }

    @Test
    void tellsHowLongToWait() {
        KeyedRateLimiter limiter = limiter(2, 1, 10);
        assertTrue(tryTake(limiter, "key", 0));
        assertEquals(SECOND_NS / 2 - 100, limiter.waitNs("key", 100));
        assertTrue(tryTake(limiter, "key", SECOND_NS / 2));
    }

    /** A client that invents keys does not get its own bucket evicted, and the invented keys share one bucket. */
    @Test
    void inventedKeysEvictNoBucketThatIsNotFull() {
        int maxKeys = 100;
        KeyedRateLimiter limiter = limiter(1, 5, maxKeys);
        int admittedOwn = 0;
        int admittedInvented = 0;
        for (int i = 0; i < 20_000; i++) {
            admittedOwn += tryTake(limiter, "flooder", i * 1_000L) ? 1 : 0;
            admittedInvented += tryTake(limiter, "made-up-" + i, i * 1_000L) ? 1 : 0;
        }
        assertEquals(5, admittedOwn);
        assertEquals(99 + 5, admittedInvented, "one each while there is room, then what one bucket admits");
        assertEquals(maxKeys, limiter.keyCount());
        assertEquals(5, limiter.sharedBucketUses());
        assertFalse(tryTake(limiter, "new", 30_000_000));
        assertTrue(tryTake(limiter, "new", 100 * SECOND_NS), "buckets are full again, so one was dropped");
        assertTrue(limiter.keyCount() <= maxKeys);
    }

    @Test
    void aReloadFillsNoBucket() {
        KeyedRateLimiter earlier = limiter(1, 2, 10);
        KeyedRateLimiter fresh = limiter(1, 2, 10);
        tryTake(earlier, "key", 0);
        tryTake(earlier, "key", 0);
        fresh.inherit(earlier);
        assertFalse(tryTake(fresh, "key", SECOND_NS / 2));
        assertTrue(tryTake(fresh, "key", SECOND_NS));
        assertTrue(tryTake(fresh, "other", SECOND_NS));
    }
}
