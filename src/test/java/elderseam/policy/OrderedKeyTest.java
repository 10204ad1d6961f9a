package elderseam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The order of requests with the same ordering key, including requests of an earlier process. */
class OrderedKeyTest {
    private static final long MS = PolicyTestHarness.MS;
    private static final int ORDERED_CLASS = 2;
    private static final long KEY = 5;

    private final PolicyTestHarness harness = PolicyTestHarness.withOneEndpoint(8);

    @Test
    void aReservedPlaceBlocksOnlyItsOwnKeyUntilItIsSettled() {
        harness.policy.reserved(harness.now, KEY, "earlier");
        String next = harness.submit(ORDERED_CLASS, KEY, 1);
        String other = harness.submit(ORDERED_CLASS, KEY + 1, 1);
        assertFalse(harness.isInFlight(next));
        assertTrue(harness.isInFlight(other));
        assertEquals("earlier", harness.policy.orderedKey(harness.now, next).first());
        harness.policy.settled(harness.now, "earlier");
        harness.endTurn();
        assertTrue(harness.isInFlight(next));
    }

    @Test
    void aRestoredRequestKeepsItsReservedPlace() {
        harness.policy.reserved(harness.now, KEY, "first");
        harness.policy.reserved(harness.now, KEY, "second");
        String third = harness.submit(ORDERED_CLASS, KEY, 1);
        long deadline = harness.now + 5_000 * MS;
        harness.policy.restored(
                harness.now, new PolicyRequest("second", ORDERED_CLASS, 0, KEY, deadline, 1, false), 0, false, 0, 0);
        assertEquals("first", harness.policy.orderedKey(harness.now, third).first());
        assertEquals(3, harness.policy.orderedKey(harness.now, third).unsettled());
    }

    /** As after a handover: the attempt counts as in flight for its key until its outcome is reported. */
    @Test
    void anAdoptedAttemptCountsForItsKey() {
        long deadline = harness.now + 5_000 * MS;
        harness.policy.restored(
                harness.now, new PolicyRequest("adopted", ORDERED_CLASS, 0, KEY, deadline, 1, false), 1, false, 0, 0);
        harness.policy.adopted(harness.now, "adopted", "a:1", harness.now - 10 * MS);
        harness.endTurn();
        assertEquals(new OrderedKeyCounts(1, 1, 0, 1), harness.policy.orderedKeys(harness.now));
        harness.policy.outcome(
                harness.now,
                new CompletedAttempt(
                        "adopted", 0, "a:1", AttemptResult.DELIVERED, 10 * MS, 0, false, true, LimitReport.NONE));
        harness.endTurn();
        assertEquals(new OrderedKeyCounts(0, 0, 0, 0), harness.policy.orderedKeys(harness.now));
        String next = harness.submit(ORDERED_CLASS, KEY, 1);
        assertEquals(new OrderedKeyCounts(1, 1, 0, 1), harness.policy.orderedKeys(harness.now));
        assertTrue(harness.isInFlight(next));
    }

    @Test
    void newKeysRestAfterARestart() {
        harness.policy.restOrderingKeys(harness.now);
        String first = harness.submit(ORDERED_CLASS, KEY, 1);
        assertEquals("resting", harness.policy.orderedKey(harness.now, first).hold());
        assertFalse(harness.isInFlight(first));
        harness.advance(harness.settings.keyRestNs() + 10 * MS);
        assertTrue(harness.isInFlight(first));
    }
}
