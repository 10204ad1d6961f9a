package elderseam.policy;

import static elderseam.policy.PolicyTestHarness.MS;
import static elderseam.policy.PolicyTestHarness.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests endpoints and destinations that are repeatedly removed from the endpoint list and listed again. */
class ChurnTest {
    private static final ListedEndpoint REMOVED = PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.GONE);
    private static final ListedEndpoint LISTED = PolicyTestHarness.ready("a:1", 1, 0);

    private final PolicyTestHarness harness = PolicyTestHarness.withOneEndpoint(8);

    /** State of endpoints and destinations that are no longer listed is removed. */
    @Test
    void stateOfRemovedEndpointsDoesNotAccumulate() {
        for (int i = 0; i < 100; i++) {
            harness.updateEndpoints(ListUpdateKind.CHANGES, PolicyTestHarness.ready("e" + i, 100 + i, 0));
            harness.answer(harness.submit(2, i, 100 + i), AttemptResult.DELIVERED);
            harness.answer(
                    harness.submit(2, 1_000 + i, 100 + i),
                    AttemptResult.RESET); // its ordering key is blocked for a while
            harness.updateEndpoints(
                    ListUpdateKind.CHANGES, PolicyTestHarness.endpoint("e" + i, 100 + i, 0, EndpointStatus.GONE));
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

    /** A removed endpoint is kept until its call ends; the endpoint that replaces it starts with fresh state. */
    @Test
    void aReplacementStartsWithFreshState() {
        String id = harness.submit(0, -1, 1);
        harness.updateEndpoints(ListUpdateKind.COMPLETE, PolicyTestHarness.ready("b:1", 1, 0));
        assertEquals(2, harness.policy.directory.endpoints.size());
        harness.answer(id, AttemptResult.DELIVERED);
        harness.updateEndpoints(ListUpdateKind.CHANGES);
        assertEquals(1, harness.policy.directory.endpoints.size());
        assertEquals("b:1", harness.onlyAttempt(harness.submit(0, -1, 1)).endpoint());
    }

    /** Requests are accepted while a destination is listed, and afterwards for as long as requests may wait. */
    @Test
    void aDestinationAcceptsRequestsForAWhileAfterRemoval() {
        assertTrue(harness.policy.serves(harness.now, 1));
        assertFalse(harness.policy.serves(harness.now, 2));
        harness.updateEndpoints(ListUpdateKind.COMPLETE);
        harness.advance(20 * S);
        assertTrue(harness.policy.serves(harness.now, 1));
        harness.advance(20 * S);
        assertFalse(harness.policy.serves(harness.now, 1));
    }

    private static PolicyTestHarness withBreakerPerEndpoint(ListedEndpoint... endpoints) {
        return PolicyTestHarness.withEndpoints(
                PolicyTestHarness.settings(8, new DestinationKind(true, 1), false), 7, endpoints);
    }

    /**
     * A Retry-After is honored even if the endpoint leaves the list in between. Before, an endpoint that left the
     * list lost its Retry-After and was called as soon as it was listed again.
     */
    @Test
    void aRetryAfterSurvivesRemovalOfItsEndpoint() {
        PolicyTestHarness sender = withBreakerPerEndpoint(LISTED);
        String id = sender.submit(0, -1, 1);
        sender.answer(sender.onlyAttempt(id), AttemptResult.FULL, 3 * S);
        sender.updateEndpoints(ListUpdateKind.CHANGES, REMOVED);
        sender.advance(S);
        sender.updateEndpoints(ListUpdateKind.COMPLETE, LISTED);
        sender.advance(1_900 * MS);
        assertFalse(sender.isInFlight(id), "2.9 s after a Retry-After of 3 s");
        sender.advance(8 * S);
        assertTrue(sender.isInFlight(id), "the endpoint is called again after the Retry-After");
    }

    /** A shared Retry-After survives removal of the destination, even if it is longer than the destination is kept. */
    @Test
    void aLongRetryAfterSurvivesRemovalOfTheWholeDestination() {
        String id = harness.submit(0, -1, 1);
        harness.answer(harness.onlyAttempt(id), AttemptResult.FULL, 60 * S);
        harness.updateEndpoints(ListUpdateKind.COMPLETE);
        harness.advance(45 * S);
        harness.updateEndpoints(ListUpdateKind.CHANGES);
        assertFalse(harness.policy.serves(harness.now, 1), "no requests are accepted for the removed destination");
        harness.updateEndpoints(ListUpdateKind.COMPLETE, LISTED);
        harness.submit(0, -1, 1);
        harness.advance(5 * S); // the harness asserts at each call that the Retry-After has ended
    }

    /** A Retry-After in a late answer to a cancelled call is honored if the endpoint is not listed when it arrives. */
    @Test
    void aLateRetryAfterOfARemovedEndpointIsHonored() {
        PolicyTestHarness sender = withBreakerPerEndpoint(LISTED, PolicyTestHarness.ready("b:1", 1, 0));
        String id = sender.submit(0, -1, 1);
        String address = sender.onlyAttempt(id).endpoint();
        sender.answer(sender.onlyAttempt(id), AttemptResult.CANCELLED, 0);
        sender.updateEndpoints(ListUpdateKind.COMPLETE);
        sender.policy.lateAnswer(sender.now, address, 5 * S, LimitReport.NONE);
        sender.retryAfterUntil.put(address, sender.now + 5 * S);
        sender.updateEndpoints(ListUpdateKind.COMPLETE, PolicyTestHarness.ready(address, 1, 0));
        sender.submit(0, -1, 1);
        sender.advance(4 * S); // the harness asserts at each call that the Retry-After has ended
    }

    // Guards against issue 56: the wait of an endpoint that has left the list is lost to the rest of its destination.
    @Test
    void aWaitOfARemovedEndpointBindsItsDestination() {
        harness.updateEndpoints(ListUpdateKind.COMPLETE, PolicyTestHarness.ready("b:1", 1, 0));
        harness.policy.retryAfter(harness.now, "a:1", 5 * S);
        String id = harness.submit(0, -1, 1);
        harness.advance(4 * S);
        assertFalse(harness.isInFlight(id), "4 s after a Retry-After of 5 s");
    }

    // Guards against issue 56: as above, for an endpoint with a breaker of its own that is listed again.
    @Test
    void aWaitOfARemovedEndpointHoldsOnceItIsListedAgain() {
        PolicyTestHarness sender = withBreakerPerEndpoint(LISTED);
        sender.updateEndpoints(ListUpdateKind.CHANGES, REMOVED);
        sender.policy.retryAfter(sender.now, "a:1", 5 * S);
        sender.updateEndpoints(ListUpdateKind.CHANGES, LISTED);
        String id = sender.submit(0, -1, 1);
        sender.advance(4 * S);
        assertFalse(sender.isInFlight(id), "4 s after a Retry-After of 5 s");
    }

    // Guards against issue 56: the wait in the outcome of an attempt is lost if its request is no longer known.
    @Test
    void aWaitBindsThoughItsRequestIsOver() {
        String id = harness.submit(0, -1, 1);
        String address = harness.onlyAttempt(id).endpoint();
        harness.answer(id, AttemptResult.DELIVERED);
        harness.policy.outcome(
                harness.now,
                new CompletedAttempt(id, 0, address, AttemptResult.FULL, 0, 5 * S, false, true, LimitReport.NONE));
        String next = harness.submit(0, -1, 1);
        harness.advance(4 * S);
        assertFalse(harness.isInFlight(next), "4 s after a Retry-After of 5 s");
    }

    /** An endpoint with an open breaker still has it open when it is listed again. */
    @Test
    void anOpenBreakerSurvivesRemovalOfItsEndpoint() {
        PolicyTestHarness sender = withBreakerPerEndpoint(LISTED);
        for (int i = 0; i < 6; i++) {
            sender.submit(0, -1, 1);
        }
        sender.answerAll(AttemptResult.CONNECT_FAILED);
        assertFalse(sender.isInFlight(sender.submit(0, -1, 1)), "the breaker is open");
        sender.updateEndpoints(ListUpdateKind.CHANGES, REMOVED);
        sender.updateEndpoints(ListUpdateKind.CHANGES, LISTED);
        assertFalse(sender.isInFlight(sender.submit(0, -1, 1)), "the breaker is still open");
    }

    /** The number of removed endpoints whose state is retained is bounded, even if all of them sent a Retry-After. */
    @Test
    void retainedEndpointsAreBoundedInNumber() {
        PolicyTestHarness sender = withBreakerPerEndpoint();
        for (int i = 0; i < 2 * EndpointDirectory.MAX_ABSENT; i++) {
            String address = "e" + i;
            sender.updateEndpoints(ListUpdateKind.CHANGES, PolicyTestHarness.ready(address, 1, 0));
            String id = sender.submit(0, -1, 1);
            sender.answer(sender.onlyAttempt(id), AttemptResult.FULL, 50 * S);
            sender.updateEndpoints(
                    ListUpdateKind.CHANGES, PolicyTestHarness.endpoint(address, 1, 0, EndpointStatus.GONE));
            sender.policy.withdrawn(sender.now, id);
        }
        assertEquals(EndpointDirectory.MAX_ABSENT, sender.policy.directory.endpoints.size());
    }

    /** An address that is listed again for another destination is a new endpoint. */
    @Test
    void anAddressListedForAnotherDestinationIsANewEndpoint() {
        PolicyTestHarness sender = withBreakerPerEndpoint(LISTED);
        String id = sender.submit(0, -1, 1);
        sender.answer(sender.onlyAttempt(id), AttemptResult.FULL, 3 * S);
        sender.updateEndpoints(ListUpdateKind.CHANGES, REMOVED);
        sender.policy.withdrawn(sender.now, id);
        sender.retryAfterUntil.clear();
        sender.updateEndpoints(ListUpdateKind.CHANGES, PolicyTestHarness.ready("a:1", 2, 0));
        assertTrue(
                sender.isInFlight(sender.submit(0, -1, 2)),
                "the harness asserts that the endpoint serves the request's destination");
    }
}
