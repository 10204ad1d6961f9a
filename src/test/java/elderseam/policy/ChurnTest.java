package elderseam.policy;

import static elderseam.policy.PolicyTestHarness.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Endpoints and destinations that keep coming and going. */
class ChurnTest {
    private final PolicyTestHarness harness = PolicyTestHarness.simple(8);

    /** What is no longer listed is forgotten. */
    @Test
    void nothingGrowsWithIdsThatAreGone() {
        for (int i = 0; i < 100; i++) {
            harness.list(ListUpdateKind.CHANGES, PolicyTestHarness.ready("e" + i, 100 + i, 0));
            harness.answer(harness.submit(2, i, 100 + i), AttemptResult.DELIVERED);
            harness.answer(
                    harness.submit(2, 1_000 + i, 100 + i), AttemptResult.RESET); // its ordering key rests for a while
            harness.list(ListUpdateKind.CHANGES, PolicyTestHarness.endpoint("e" + i, 100 + i, 0, EndpointStatus.GONE));
            harness.advance(S);
        }
        assertEquals(1, harness.policy.directory.endpoints.size());
        assertTrue(
                harness.policy.directory.destinations.size() < 40,
                harness.policy.directory.destinations.size() + " destinations");
        assertTrue(
                harness.policy.requests.keyQueues.size() < 3,
                harness.policy.requests.keyQueues.size() + " ordering keys");
        assertTrue(harness.policy.directory.empty.size() < 40 && harness.policy.requests.resting.size() < 3);
    }

    /** A removed endpoint is kept until its call ends; its successor starts with fresh state. */
    @Test
    void aSuccessorStartsAnew() {
        String id = harness.submit(0, -1, 1);
        harness.list(ListUpdateKind.COMPLETE, PolicyTestHarness.ready("b:1", 1, 0));
        assertEquals(2, harness.policy.directory.endpoints.size());
        harness.answer(id, AttemptResult.DELIVERED);
        harness.list(ListUpdateKind.CHANGES);
        assertEquals(1, harness.policy.directory.endpoints.size());
        assertEquals("b:1", harness.onlyAttempt(harness.submit(0, -1, 1)).endpoint());
    }

    /** Requests are accepted while a destination is listed, and for as long after as they may be held. */
    @Test
    void aDestinationIsKnownForAWhile() {
        assertTrue(harness.policy.serves(harness.now, 1));
        assertFalse(harness.policy.serves(harness.now, 2));
        harness.list(ListUpdateKind.COMPLETE);
        harness.advance(20 * S);
        assertTrue(harness.policy.serves(harness.now, 1));
        harness.advance(20 * S);
        assertFalse(harness.policy.serves(harness.now, 1));
    }
}
