package elderseam.policy;

import static elderseam.policy.PolicyTestHarness.MS;
import static elderseam.policy.PolicyTestHarness.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RulesTest {
    @Test
    void anUnsafeRequestIsRetriedOnlyWhenItNeverRan() {
        for (AttemptResult result : AttemptResult.values()) {
            if (result == AttemptResult.DELIVERED) {
                continue;
            }
            PolicyTestHarness harness = PolicyTestHarness.simple(8);
            String id = harness.submit(2, 5, 1);
            harness.answer(id, result);
            if (result.neverRan) {
                harness.pass(3 * S);
                assertTrue(harness.sent(id), result.name());
            } else {
                assertEquals("failed", harness.end(id), result.name());
            }
        }
    }

    @Test
    void aKeyedRequestIsRetriedOnlyWithinItsWindow() {
        PolicyTestHarness harness = PolicyTestHarness.simple(8);
        String id = harness.submit(1, -1, 1);
        harness.answer(id, AttemptResult.ERROR);
        harness.pass(500 * MS);
        assertTrue(harness.sent(id));
        harness.pass(6 * S);
        if (harness.sent(id)) {
            harness.answer(id, AttemptResult.RESET);
        }
        assertEquals("refused", harness.end(id), "its key is forgotten; a refusal is harmless only in scope all");
    }

    @Test
    void aKeyOfOneZoneStaysInItsZone() {
        PolicyTestHarness harness =
                new PolicyTestHarness(PolicyTestHarness.settings(8, new DestinationKind(false, 1), true), 1);
        harness.list(
                ListUpdateKind.CACHED,
                PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.READY),
                PolicyTestHarness.endpoint("b:1", 1, 1, EndpointStatus.READY));
        String id = harness.submit(1, -1, 1);
        assertEquals("a:1", harness.only(id).endpoint());
        harness.answer(id, AttemptResult.ERROR);
        harness.list(ListUpdateKind.CHANGES, PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.DRAINING));
        harness.pass(7 * S);
        assertEquals("failed", harness.end(id), "neither sent to the other zone nor refused");
    }

    @Test
    void aDrainedEndpointGetsNothingAndItsReplacementDoes() {
        PolicyTestHarness harness = PolicyTestHarness.simple(8);
        harness.list(ListUpdateKind.CHANGES, PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.GONE));
        String id = harness.submit(0, -1, 1);
        harness.pass(1 * S);
        assertFalse(harness.sent(id));
        harness.list(ListUpdateKind.CHANGES, PolicyTestHarness.endpoint("b:1", 1, 0, EndpointStatus.READY));
        assertEquals("b:1", harness.only(id).endpoint());
    }

    @Test
    void requestsOfAKeyGoInOrderAndRestAfterAnUncertainEnd() {
        PolicyTestHarness harness = PolicyTestHarness.simple(8);
        String first = harness.submit(2, 5, 1);
        String second = harness.submit(2, 5, 1);
        String other = harness.submit(2, 6, 1);
        assertTrue(harness.sent(first) && harness.sent(other));
        assertFalse(harness.sent(second));
        harness.answer(first, AttemptResult.RESET);
        assertFalse(harness.sent(second), "the key rests");
        harness.pass(90 * MS);
        assertFalse(harness.sent(second));
        harness.pass(500 * MS);
        assertTrue(harness.sent(second));
    }

    @Test
    void theLastTimeOutIsAnsweredInTime() {
        PolicyTestHarness harness = PolicyTestHarness.simple(1);
        String id = harness.submit(2, 5, 1);
        harness.pass(28 * S + 10 * MS);
        assertEquals("failed", harness.end(id));
    }

    @Test
    void aRequestThatCannotBeDeliveredInTimeIsRejectedEarly() {
        PolicyTestHarness harness =
                new PolicyTestHarness(PolicyTestHarness.settings(8, new DestinationKind(false, 1), false), 1);
        String id = harness.submit(0, -1, 1);
        harness.pass(20 * S);
        assertEquals("refused", harness.end(id));
    }

    @Test
    void loadSheddingKeepsRoom() {
        PolicyTestHarness harness =
                new PolicyTestHarness(PolicyTestHarness.settings(8, new DestinationKind(false, 1), false), 1);
        for (int i = 0; i < 400; i++) {
            harness.submit(i % 2, -1, 1);
        }
        long held =
                harness.messages.values().stream().filter(m -> m.end == null).count();
        assertTrue(held < 300 && held > 250, held + " held");
    }

    @Test
    void aFailedSubscriptionIsRenewed() {
        PolicySettings s = PolicyTestHarness.settings(8, new DestinationKind(false, 1), false);
        PolicyTestHarness harness = new PolicyTestHarness(
                new PolicySettings(
                        s.classes(),
                        s.kinds(),
                        s.tenantRates(),
                        s.slots(),
                        s.maxHeld(),
                        s.maxAttempts(),
                        s.senderCount(),
                        s.zone(),
                        s.halvesWhenLate(),
                        s.overQuotaWeight(),
                        s.mayCancel(),
                        s.mayHedge(),
                        true,
                        s.weightPrecision(),
                        s.maxRetryAfterNs(),
                        s.drainGraceNs(),
                        s.coldRateRatio(),
                        s.warmUpNs(),
                        s.overloadMultiple(),
                        s.overloadNs(),
                        s.keyRestNs(),
                        s.connections(),
                        s.prices()),
                1);
        harness.list(ListUpdateKind.CACHED, PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.READY));
        assertEquals(1, harness.subscribes);
        harness.policy.endpoints(harness.now, ListUpdateKind.FAILED, java.util.List.of());
        harness.policy.turnEnd(harness.now);
        harness.pass(1 * S);
        assertEquals(2, harness.subscribes);
        for (int i = 3;
                i < 12;
                i++) { // however long discovery was away: what it has to tell at its return counts as told 6 s after
            harness.policy.endpoints(harness.now, ListUpdateKind.FAILED, java.util.List.of());
            harness.policy.turnEnd(harness.now);
            harness.pass(5 * S);
            assertEquals(i, harness.subscribes);
        }
    }

    @Test
    void routesApartHaveBreakersOfTheirOwn() {
        PolicyTestHarness harness =
                new PolicyTestHarness(PolicyTestHarness.settings(8, new DestinationKind(true, 1), false), 1);
        harness.list(
                ListUpdateKind.CACHED,
                PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.READY),
                PolicyTestHarness.endpoint("b:1", 1, 0, EndpointStatus.READY));
        for (int i = 0; i < 40; i++) {
            harness.submit(2, -1, 1);
            harness.pass(20 * MS);
            for (PolicyTestHarness.Attempt a : harness.out()) {
                harness.answer(
                        a, a.endpoint().equals("a:1") ? AttemptResult.CONNECT_FAILED : AttemptResult.DELIVERED, 0);
            }
            harness.policy.turnEnd(harness.now);
        }
        harness.pass(1 * S);
        harness.out().forEach(a -> assertEquals("b:1", a.endpoint()));
        assertTrue(harness.sent(harness.submit(0, -1, 1)), "the other route still serves");
    }

    @Test
    void routesApartTogetherKeepTheCapOfTheirDestination() {
        PolicyTestHarness harness =
                new PolicyTestHarness(PolicyTestHarness.settings(8, new DestinationKind(true, 1), false), 1);
        harness.list(
                ListUpdateKind.CACHED,
                PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.READY),
                PolicyTestHarness.endpoint("b:1", 1, 0, EndpointStatus.READY));
        for (int i = 0; i < 20; i++) {
            harness.submit(0, -1, 1);
        }
        assertEquals(6, harness.out().size());
    }

    @Test
    void aBatchSharesOneTicket() {
        PolicyTestHarness harness =
                new PolicyTestHarness(PolicyTestHarness.settings(4, new DestinationKind(false, 5), false), 1);
        harness.list(ListUpdateKind.CACHED, PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.READY));
        for (int i = 0; i < 5; i++) {
            harness.take(0, -1, 1);
        }
        harness.policy.turnEnd(harness.now);
        assertEquals(5, harness.out().size());
    }

    @Test
    void misuseIsRejected() {
        PolicyTestHarness harness = PolicyTestHarness.simple(8);
        String id = harness.submit(0, -1, 1);
        assertThrows(
                IllegalArgumentException.class,
                () -> harness.policy.request(harness.now, harness.messages.get(id).msg));
        assertThrows(IllegalArgumentException.class, () -> harness.policy.turnEnd(harness.now - 1));
        harness.policy.withdrawn(harness.now, "nobody");
        harness.policy.timer(harness.now, 99);
        harness.policy.turnEnd(harness.now);
        assertTrue(harness.sent(id));
    }

    /** Whatever ends a message ends it in that very turn, and says when to come back where it may. */
    @Test
    void aRequestThatIsGivenUpIsAnsweredAtOnce() {
        PolicyTestHarness spent = PolicyTestHarness.simple(8);
        String id = spent.submit(0, -1, 1);
        while (spent.messages.get(id).attempts < spent.settings.maxAttempts()) {
            if (spent.sent(id)) {
                spent.answer(id, AttemptResult.NOT_SENT);
            }
            spent.pass(20 * MS);
        }
        spent.answer(id, AttemptResult.NOT_SENT);
        assertEquals("refused", spent.end(id), "attempts spent");
        assertRetryAfter(spent, id);

        PolicyTestHarness late = PolicyTestHarness.simple(8);
        late.patience = 0.001;
        id = late.submit(0, -1, 1);
        assertEquals("refused", late.end(id), "too little time");
        assertEquals(late.now, late.messages.get(id).endedAt);
        assertRetryAfter(late, id);

        PolicyTestHarness ran = PolicyTestHarness.simple(8);
        id = ran.submit(2, -1, 1);
        ran.answer(id, AttemptResult.RESET);
        assertEquals("failed", ran.end(id), "may have run and may not be repeated");

        PolicyTestHarness store = PolicyTestHarness.simple(1);
        for (int i = 0; i <= store.settings.maxHeld(); i++) {
            store.submit(0, -1, 1);
        }
        String refused = store.messages.entrySet().stream()
                .filter(e -> e.getValue().end != null)
                .findFirst()
                .orElseThrow()
                .getKey();
        assertEquals("refused", store.end(refused), "store full");
        assertRetryAfter(store, refused);
    }

    private static void assertRetryAfter(PolicyTestHarness harness, String id) {
        String line = harness.trace.stream()
                .filter(l -> l.contains("refuse " + id))
                .findFirst()
                .orElseThrow();
        assertTrue(Long.parseLong(line.substring(line.lastIndexOf(' ') + 1)) > 0, "no come-back time: " + line);
    }
}
