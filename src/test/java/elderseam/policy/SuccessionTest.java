package elderseam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

/** The state that a policy hands over to its successor, and the treatment of an endpoint that returns to the list. */
class SuccessionTest {
    /** A snapshot in memory that is first written, then read. */
    private static final class InMemorySnapshot implements SnapshotCursor {
        private final ArrayDeque<Object> values = new ArrayDeque<>();
        private boolean reads;

        @SuppressWarnings("unchecked")
        private <T> T pass(T value) {
            if (!reads) {
                values.add(value);
                return value;
            }
            return (T) values.remove();
        }

        @Override
        public long integer(long value) {
            return pass(value);
        }

        @Override
        public double real(double value) {
            return pass(value);
        }

        @Override
        public long time(long value) {
            return pass(value);
        }

        @Override
        public String text(String value) {
            return pass(value);
        }
    }

    /** A sender that has read the snapshot of the predecessor. */
    private static PolicyTestHarness successor(PolicyTestHarness predecessor) {
        InMemorySnapshot snapshot = new InMemorySnapshot();
        predecessor.policy.transfer(predecessor.now, snapshot);
        snapshot.reads = true;
        PolicyTestHarness successor = new PolicyTestHarness(predecessor.settings, 8);
        successor.now = predecessor.now;
        successor.listed.putAll(predecessor.listed);
        successor.retryAfterUntil.putAll(predecessor.retryAfterUntil);
        successor.policy.transfer(predecessor.now, snapshot);
        assertTrue(snapshot.values.isEmpty(), "values written but not read");
        return successor;
    }

    @Test
    void theSuccessorKeepsARetryAfterAndAnOpenBreaker() {
        PolicyTestHarness harness = PolicyTestHarness.withOneEndpoint(8);
        String id = harness.submit(0, -1, 1);
        harness.answer(harness.onlyAttempt(id), AttemptResult.FULL, 5 * PolicyTestHarness.S);
        harness.endTurn();
        PolicyTestHarness successor = successor(harness);
        assertEquals(new EndpointCounts(1, 1), successor.policy.endpointCounts(successor.now));
        assertFalse(successor.policy.mayStart(successor.now, "none", "a:1"));
        String next = successor.submit(0, -1, 1); // the harness checks that the Retry-After is observed
        successor.advance(4 * PolicyTestHarness.S);
        assertFalse(successor.isInFlight(next));
        successor.advance(8 * PolicyTestHarness.S);
        assertTrue(successor.isInFlight(next));
    }

    @Test
    void theSuccessorKeepsTheSleepWindowOfAnOpenBreaker() {
        PolicyTestHarness harness = PolicyTestHarness.withOneEndpoint(8);
        for (int i = 0; i < 4; i++) {
            harness.answer(harness.submit(2, i, 1), AttemptResult.ERROR); // unsafe requests: each fails at once
        }
        PolicyTestHarness successor = successor(harness);
        String id = successor.submit(0, -1, 1);
        successor.advance(PolicyTestHarness.S);
        assertFalse(successor.isInFlight(id), "the breaker is open");
        successor.advance(4 * PolicyTestHarness.S);
        assertTrue(successor.isInFlight(id), "a trial call is sent");
    }

    /** A call of the predecessor uses a ticket and a slot and is not repeated; its outcome counts like any other. */
    @Test
    void anAttemptInFlightIsNotRepeated() {
        PolicyTestHarness harness = PolicyTestHarness.withOneEndpoint(1);
        String id = harness.submit(2, -1, 1);
        PolicyTestHarness.Attempt adopted = harness.onlyAttempt(id);
        PolicyTestHarness successor = successor(harness);
        SubmittedRequest sent = harness.requests.get(id);
        successor.requests.put(id, sent);
        successor.unfinished.put(id, sent);
        successor.policy.restored(successor.now, sent.request, 1, false, 0, 0);
        successor.policy.adopted(successor.now, id, adopted.endpoint(), adopted.start());
        successor.endTurn();
        PolicyRequest second =
                new PolicyRequest("second", 0, 0, -1, successor.now + 20 * PolicyTestHarness.S, 1, false);
        SubmittedRequest waiting =
                new SubmittedRequest(second, successor.settings.classes().get(0));
        successor.requests.put("second", waiting);
        successor.unfinished.put("second", waiting);
        successor.policy.request(successor.now, second);
        successor.advance(200 * PolicyTestHarness.MS);
        assertFalse(successor.isInFlight("second"), "the only slot is in use");
        assertEquals(1, sent.inFlight.size());
        successor.answer(id, AttemptResult.DELIVERED);
        assertTrue(successor.isInFlight("second"));
    }

    /** An endpoint that returns may have restarted: it gets few calls at first, the other endpoint gets the rest. */
    @Test
    void anEndpointThatReturnsIsWarmedUp() {
        PolicyTestHarness harness = PolicyTestHarness.withOneEndpoint(40);
        harness.updateEndpoints(ListUpdateKind.CHANGES, PolicyTestHarness.ready("b:1", 1, 0));
        harness.updateEndpoints(
                ListUpdateKind.CHANGES, PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.DRAINING));
        harness.advance(100 * PolicyTestHarness.MS);
        harness.updateEndpoints(ListUpdateKind.CHANGES, PolicyTestHarness.ready("a:1", 1, 0));
        for (int i = 0; i < 20; i++) {
            harness.submit(0, -1, 1);
        }
        long cold = harness.inFlight().stream()
                .filter(attempt -> attempt.endpoint().equals("a:1"))
                .count();
        assertEquals(1, cold);
        assertEquals(19, harness.inFlight().size() - cold);
        harness.inFlight().forEach(attempt -> harness.answer(attempt, AttemptResult.DELIVERED, 0));
        harness.advance(10 * PolicyTestHarness.S); // the warm-up time of the settings
        for (int i = 0; i < 20; i++) {
            harness.submit(0, -1, 1);
        }
        assertTrue(harness.inFlight().stream()
                        .filter(attempt -> attempt.endpoint().equals("a:1"))
                        .count()
                > 5);
    }

    /** If it is the only endpoint, its destination gets a slow start. */
    @Test
    void theOnlyEndpointReturnsWithASlowStart() {
        PolicyTestHarness harness = PolicyTestHarness.withOneEndpoint(40);
        harness.updateEndpoints(
                ListUpdateKind.CHANGES, PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.DRAINING));
        for (int i = 0; i < 20; i++) {
            harness.submit(0, -1, 1);
        }
        harness.advance(100 * PolicyTestHarness.MS);
        assertEquals(0, harness.inFlight().size());
        harness.updateEndpoints(ListUpdateKind.CHANGES, PolicyTestHarness.ready("a:1", 1, 0));
        harness.advance(100 * PolicyTestHarness.MS);
        assertTrue(
                harness.inFlight().size() <= 2,
                harness.inFlight().size() + " calls at once to an endpoint that is warming up");
        harness.advance(5 * PolicyTestHarness.S);
        assertTrue(harness.inFlight().size() > 2, "no more calls after the slow start");
    }
}
