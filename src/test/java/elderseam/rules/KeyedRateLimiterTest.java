package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class KeyedRateLimiterTest {
    private static final long S = 1_000_000_000L;

    private static boolean takes(KeyedRateLimiter b, String key, long now) {
        boolean takes = b.waitNs(key, now) == 0;
        if (takes) {
            b.take(key, now);
        }
        return takes;
    }

    /** In any stretch no more than burst and rate allow, and never fewer than a bucket of that size would let pass. */
    @Property(tries = 200, seed = "9")
    void asABucketThatLeaks(@ForAll long seed) {
        Random r = new Random(seed);
        int burst = 1 + r.nextInt(20);
        double rate = 1 + r.nextInt(50);
        KeyedRateLimiter b = new KeyedRateLimiter("l", rate, burst, 10);
        double level = 0; // the model: a bucket that leaks
        long now = 0, interval = Math.round(1e9 / rate);
        for (int i = 0; i < 500; i++) {
            long passed = (long) (r.nextDouble() * 2 * interval);
            now += passed;
            level = Math.max(0, level - passed);
            boolean fits = level <= interval * (burst - 1.0);
            assertEquals(fits, takes(b, "k", now), "at " + i);
            level += fits ? interval : 0;
        }
    }

    @Test
    void itSaysWhenToComeBack() {
        KeyedRateLimiter b = new KeyedRateLimiter("l", 2, 1, 10);
        assertTrue(takes(b, "k", 0));
        assertEquals(S / 2 - 100, b.waitNs("k", 100));
        assertTrue(takes(b, "k", S / 2));
    }

    /** A flooder that makes up keys until its own would be let go gains nothing: its own stays, the others share one bucket. */
    @Test
    void aFlooderIsNotForgiven() {
        KeyedRateLimiter b = new KeyedRateLimiter("l", 1, 5, 100);
        int own = 0, others = 0;
        for (int i = 0; i < 20_000; i++) {
            own += takes(b, "flooder", i * 1_000L) ? 1 : 0;
            others += takes(b, "made-up-" + i, i * 1_000L) ? 1 : 0;
        }
        assertEquals(5, own);
        assertEquals(99 + 5, others, "one each while there is room, then what one bucket lets pass");
        assertEquals(100, b.size());
        assertTrue(b.crowded() == 5 && !takes(b, "new", 30_000_000));
        assertTrue(takes(b, "new", 100 * S), "full again, and so let go");
        assertTrue(b.size() <= 100);
    }

    /** A reload forgives nobody either. */
    @Test
    void aReloadGoesOnWhereItStood() {
        KeyedRateLimiter old = new KeyedRateLimiter("l", 1, 2, 10), fresh = new KeyedRateLimiter("l", 1, 2, 10);
        takes(old, "k", 0);
        takes(old, "k", 0);
        fresh.inherit(old);
        assertTrue(!takes(fresh, "k", S / 2) && takes(fresh, "k", S) && takes(fresh, "other", S));
    }

    @Test
    void ratesAreOfTheLastWindow() {
        TenantRates r = new TenantRates(2, 16);
        for (int i = 0; i < 160; i++) {
            r.arrived(0, i * S / 10);
        }
        assertEquals(10, r.perSecond(0, 159 * S / 10), 0.001);
        assertEquals(0, r.perSecond(1, 16 * S));
        assertEquals(5, r.perSecond(0, 23 * S + S / 2), 0.01);
        assertEquals(0, r.perSecond(0, 1_000 * S));
        r.arrived(-1, S);
        assertEquals(1 / 16.0, r.perSecond(99, S), 0.001, "those of no known tenant count together");
    }

    /** Month-end in Windhoek is two hours before that in Greenwich. */
    @Test
    void theCalendarIsTheZones() {
        Calendar c = new Calendar(java.time.ZoneId.of("Africa/Windhoek"));
        long before = java.time.Instant.parse("2026-11-30T21:59:59Z").toEpochMilli(), after = before + 1_000;
        assertEquals(30, c.part(RuleVariables.DAY, before));
        assertEquals(0, c.part(RuleVariables.DAYS_LEFT, before));
        assertEquals(23, c.part(RuleVariables.HOUR, before));
        assertEquals(1, c.part(RuleVariables.DAY, after));
        assertEquals(12, c.part(RuleVariables.MONTH, after));
        assertEquals(30, c.part(RuleVariables.DAYS_LEFT, after));
        assertEquals(2, c.part(RuleVariables.WEEKDAY, after));
    }
}
