package elderseam.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.rules.RuleEnvironment.Breaker;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Keys are spread by weight, stay where they are, and move only as far as needed. */
class RouteTest {
    private static final int KEYS = 20_000;
    private static final long CANARY_DESTINATION = 9;
    private static final long CANARY_START_MS = 1_000;
    private static final long CANARY_STEP_MS = 500;
    private static final Route.Canary CANARY =
            new Route.Canary(CANARY_DESTINATION, List.of(1.0, 10.0, 100.0), CANARY_START_MS, CANARY_STEP_MS);
    private static final long FIRST_FALLBACK = 7;
    private static final long SECOND_FALLBACK = 8;

    /** {@code members}: such as {@code 1*60 2}, destinations with weights. */
    private static Route route(String members, Route.Canary canary) {
        return new Route(
                "route",
                Arrays.stream(members.split(" ")).map(RouteTest::member).toList(),
                Map.of("north", List.of(1L, 2L)),
                List.of(FIRST_FALLBACK, SECOND_FALLBACK),
                canary,
                "x-route");
    }

    private static Route.Member member(String text) {
        String[] parts = text.split("\\*");
        double weight = parts.length > 1 ? Double.parseDouble(parts[1]) : 1;
        return new Route.Member(Long.parseLong(parts[0]), weight);
    }

    private static long destination(Route route, int key, long wallMs, Long... openBreakers) {
        List<Long> open = List.of(openBreakers);
        return route.destination(
                "lease/" + key,
                "",
                "",
                wallMs,
                destination -> open.contains(destination) ? Breaker.OPEN : Breaker.CLOSED);
    }

    private static long override(Route route, String key, String subset, String header, long wallMs) {
        return route.destination(key, subset, header, wallMs, destination -> Breaker.CLOSED);
    }

    @Test
    void keysAreSpreadByWeight() {
        Route route = route("1*60 2*30 3*10", null);
        int[] keysByDestination = new int[4];
        for (int key = 0; key < KEYS; key++) {
            keysByDestination[(int) destination(route, key, 0)]++;
        }
        assertEquals(0.6, keysByDestination[1] / (double) KEYS, 0.015);
        assertEquals(0.3, keysByDestination[2] / (double) KEYS, 0.015);
        assertEquals(0.1, keysByDestination[3] / (double) KEYS, 0.015);
    }

    /** A new member takes its share from all others and nothing else moves; a higher weight only attracts keys. */
    @Test
    void aChangeMovesOnlyItsOwnShare() {
        Route threeMembers = route("1 2 3", null);
        Route fourMembers = route("1 2 3 4", null);
        Route heavierFirst = route("1*2 2 3", null);
        int moved = 0;
        for (int key = 0; key < KEYS; key++) {
            long before = destination(threeMembers, key, 0);
            long withFourth = destination(fourMembers, key, 0);
            long withHeavierFirst = destination(heavierFirst, key, 0);
            assertTrue(withFourth == before || withFourth == 4);
            assertTrue(withHeavierFirst == before || withHeavierFirst == 1);
            moved += withFourth != before ? 1 : 0;
        }
        assertEquals(0.25, moved / (double) KEYS, 0.015);
    }

    /** The canary's share follows the clock alone; its keys stay there, and go elsewhere while its breaker is open. */
    @Test
    void aCanaryGrowsAndKeepsItsKeys() {
        Route route = route("1 2 3", CANARY);
        Route withoutCanary = route("1 2 3", null);
        int[] canaryKeysByStep = new int[4];
        for (int key = 0; key < KEYS; key++) {
            boolean wasCanary = false;
            for (int step = 0; step < canaryKeysByStep.length; step++) {
                long wallMs = CANARY_START_MS - 1 + CANARY_STEP_MS * step;
                long destination = destination(route, key, wallMs);
                boolean isCanary = destination == CANARY_DESTINATION;
                assertTrue(!wasCanary || isCanary, "the canary keeps its keys");
                wasCanary = isCanary;
                canaryKeysByStep[step] += isCanary ? 1 : 0;
                assertEquals(
                        destination(withoutCanary, key, 0),
                        isCanary ? destination(route, key, wallMs, CANARY_DESTINATION) : destination,
                        "all other keys stay where they were");
            }
        }
        assertEquals(0, canaryKeysByStep[0]);
        assertEquals(0.01, canaryKeysByStep[1] / (double) KEYS, 0.004);
        assertEquals(0.10, canaryKeysByStep[2] / (double) KEYS, 0.01);
        assertEquals(KEYS, canaryKeysByStep[3]);
        assertEquals(1, CANARY.share(Long.MAX_VALUE));
    }

    @Test
    void openBreakersAreSkippedForTheOtherMembersThenForTheFallbacks() {
        Route route = route("1 2 3", null);
        for (int key = 0; key < 200; key++) {
            long first = destination(route, key, 0);
            long second = destination(route, key, 0, first);
            assertNotEquals(first, second);
            assertTrue(second <= 3);
            assertEquals(FIRST_FALLBACK, destination(route, key, 0, 1L, 2L, 3L));
            assertEquals(SECOND_FALLBACK, destination(route, key, 0, 1L, 2L, 3L, FIRST_FALLBACK));
            assertEquals(
                    first,
                    destination(route, key, 0, 1L, 2L, 3L, FIRST_FALLBACK, SECOND_FALLBACK),
                    "all open: the key's own destination, and the policy decides");
        }
    }

    @Test
    void aHeaderOverridesWithinTheRoute() {
        Route route = route("1 2 3", CANARY);
        long wallMs = 9_999;
        for (int i = 0; i < 200; i++) {
            String key = "k" + i;
            assertEquals(3, override(route, key, "", "3", 0));
            assertEquals(CANARY_DESTINATION, override(route, key, "", "9", 0));
            assertTrue(override(route, key, "", "north", wallMs) < 3);
            assertTrue(override(route, key, "north", "", wallMs) < 3);
        }
        assertEquals(Route.NO_DESTINATION, override(route, "k", "", "12345", 0));
        assertEquals(Route.NO_DESTINATION, override(route, "k", "", "south", 0));
    }
}
