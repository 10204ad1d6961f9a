package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.rules.RuleEnvironment.Breaker;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Where keys go: by weight, for good, and elsewhere only as far as needed. */
class RouteTest {
    private static final int KEYS = 20_000;
    private static final Route.Canary CANARY = new Route.Canary(9, new double[] {1, 10, 100}, 1_000, 500);

    private static Route route(String members, Route.Canary canary) {
        return new Route(
                "r",
                java.util.Arrays.stream(members.split(" "))
                        .map(m -> m.split("\\*"))
                        .map(m -> new Route.Member(Long.parseLong(m[0]), m.length > 1 ? Double.parseDouble(m[1]) : 1))
                        .toList(),
                Map.of("north", List.of(1L, 2L)),
                List.of(7L, 8L),
                canary,
                "x-route");
    }

    private static long at(Route r, int key, long time, Long... open) {
        return r.destination(
                "lease/" + key, "", "", time, d -> List.of(open).contains(d) ? Breaker.OPEN : Breaker.CLOSED);
    }

    @Test
    void weightsHold() {
        Route r = route("1*60 2*30 3*10", null);
        int[] counts = new int[4];
        for (int k = 0; k < KEYS; k++) {
            counts[(int) at(r, k, 0)]++;
        }
        assertEquals(0.6, counts[1] / (double) KEYS, 0.015);
        assertEquals(0.3, counts[2] / (double) KEYS, 0.015);
        assertEquals(0.1, counts[3] / (double) KEYS, 0.015);
    }

    /** One that joins takes its share from all, and nothing else moves; a weight that grows only draws. */
    @Test
    void onlyItsShareMoves() {
        Route three = route("1 2 3", null), four = route("1 2 3 4", null), heavier = route("1*2 2 3", null);
        int moved = 0;
        for (int k = 0; k < KEYS; k++) {
            long before = at(three, k, 0), after = at(four, k, 0), heavy = at(heavier, k, 0);
            assertTrue(after == before || after == 4);
            assertTrue(heavy == before || heavy == 1);
            moved += after != before ? 1 : 0;
        }
        assertEquals(0.25, moved / (double) KEYS, 0.015);
    }

    /** Step by step, by the clock alone; what the canary has stays with it, and goes back while its breaker is open. */
    @Test
    void aCanaryGrowsAndKeepsWhatItHas() {
        Route r = route("1 2 3", CANARY), without = route("1 2 3", null);
        int[] counts = new int[4];
        for (int k = 0; k < KEYS; k++) {
            boolean had = false;
            for (int step = 0; step < 4; step++) {
                long d = at(r, k, 999 + 500 * step);
                assertTrue(!had || d == 9, "it keeps what it had");
                had = d == 9;
                counts[step] += had ? 1 : 0;
                assertEquals(
                        at(without, k, 0),
                        d == 9 ? at(r, k, 999 + 500 * step, 9L) : d,
                        "all others stay where they were");
            }
        }
        assertEquals(0, counts[0]);
        assertEquals(0.01, counts[1] / (double) KEYS, 0.004);
        assertEquals(0.10, counts[2] / (double) KEYS, 0.01);
        assertEquals(KEYS, counts[3]);
        assertEquals(1, CANARY.share(Long.MAX_VALUE));
    }

    @Test
    void anOpenBreakerIsPassedOverThenTheFallbacks() {
        Route r = route("1 2 3", null);
        for (int k = 0; k < 200; k++) {
            long first = at(r, k, 0), second = at(r, k, 0, first);
            assertTrue(second != first && second <= 3);
            assertEquals(7, at(r, k, 0, 1L, 2L, 3L));
            assertEquals(8, at(r, k, 0, 1L, 2L, 3L, 7L));
            assertEquals(first, at(r, k, 0, 1L, 2L, 3L, 7L, 8L), "all open: its own, and the module decides");
        }
    }

    /** A rehearsal's header names a destination of the route or a subset, and nothing beyond. */
    @Test
    void aHeaderOverridesWithinTheRoute() {
        Route r = route("1 2 3", CANARY);
        for (int k = 0; k < 200; k++) {
            assertEquals(3, r.destination("k" + k, "", "3", 0, d -> Breaker.CLOSED));
            assertEquals(9, r.destination("k" + k, "", "9", 0, d -> Breaker.CLOSED));
            assertTrue(r.destination("k" + k, "", "north", 9_999, d -> Breaker.CLOSED) < 3);
            assertTrue(r.destination("k" + k, "north", "", 9_999, d -> Breaker.CLOSED) < 3);
        }
        assertEquals(-1, r.destination("k", "", "12345", 0, d -> Breaker.CLOSED));
        assertEquals(-1, r.destination("k", "", "south", 0, d -> Breaker.CLOSED));
    }
}
