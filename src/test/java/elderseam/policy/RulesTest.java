package elderseam.policy;

import static elderseam.policy.PolicyTestHarness.MS;
import static elderseam.policy.PolicyTestHarness.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.policy.Sender.Kind;
import elderseam.policy.Sender.Listing;
import elderseam.policy.Sender.Result;
import org.junit.jupiter.api.Test;

class RulesTest {
    @Test
    void anUnsafeMessageGoesAgainOnlyWhenItNeverRan() {
        for (Result result : Result.values()) {
            if (result == Result.DELIVERED) {
                continue;
            }
            PolicyTestHarness rig = PolicyTestHarness.simple(8);
            String id = rig.submit(2, 5, 1);
            rig.answer(id, result);
            if (result.neverRan) {
                rig.pass(3 * S);
                assertTrue(rig.sent(id), result.name());
            } else {
                assertEquals("failed", rig.end(id), result.name());
            }
        }
    }

    @Test
    void aKeyedMessageGoesAgainWithinItsWindowOnly() {
        PolicyTestHarness rig = PolicyTestHarness.simple(8);
        String id = rig.submit(1, -1, 1);
        rig.answer(id, Result.ERROR);
        rig.pass(500 * MS);
        assertTrue(rig.sent(id));
        rig.pass(6 * S);
        if (rig.sent(id)) {
            rig.answer(id, Result.RESET);
        }
        assertEquals("refused", rig.end(id), "its key is forgotten; a refusal is harmless only in scope all");
    }

    @Test
    void aKeyOfOneZoneStaysInItsZone() {
        PolicyTestHarness rig = new PolicyTestHarness(PolicyTestHarness.settings(8, new Kind(false, 1), true), 1);
        rig.list(
                Sender.ListKind.CACHED,
                PolicyTestHarness.endpoint("a:1", 1, 0, Listing.READY),
                PolicyTestHarness.endpoint("b:1", 1, 1, Listing.READY));
        String id = rig.submit(1, -1, 1);
        assertEquals("a:1", rig.only(id).endpoint());
        rig.answer(id, Result.ERROR);
        rig.list(Sender.ListKind.CHANGES, PolicyTestHarness.endpoint("a:1", 1, 0, Listing.DRAINING));
        rig.pass(7 * S);
        assertEquals("failed", rig.end(id), "neither sent to the other zone nor refused");
    }

    @Test
    void aDrainedEndpointGetsNothingAndItsReplacementDoes() {
        PolicyTestHarness rig = PolicyTestHarness.simple(8);
        rig.list(Sender.ListKind.CHANGES, PolicyTestHarness.endpoint("a:1", 1, 0, Listing.GONE));
        String id = rig.submit(0, -1, 1);
        rig.pass(1 * S);
        assertFalse(rig.sent(id));
        rig.list(Sender.ListKind.CHANGES, PolicyTestHarness.endpoint("b:1", 1, 0, Listing.READY));
        assertEquals("b:1", rig.only(id).endpoint());
    }

    @Test
    void messagesOfAKeyGoInOrderAndRestAfterADoubtfulEnd() {
        PolicyTestHarness rig = PolicyTestHarness.simple(8);
        String first = rig.submit(2, 5, 1);
        String second = rig.submit(2, 5, 1);
        String other = rig.submit(2, 6, 1);
        assertTrue(rig.sent(first) && rig.sent(other));
        assertFalse(rig.sent(second));
        rig.answer(first, Result.RESET);
        assertFalse(rig.sent(second), "the key rests");
        rig.pass(90 * MS);
        assertFalse(rig.sent(second));
        rig.pass(500 * MS);
        assertTrue(rig.sent(second));
    }

    @Test
    void theLastTimeOutIsAnsweredInTime() {
        PolicyTestHarness rig = PolicyTestHarness.simple(1);
        String id = rig.submit(2, 5, 1);
        rig.pass(28 * S + 10 * MS);
        assertEquals("failed", rig.end(id));
    }

    @Test
    void aMessageThatCannotMakeItIsRefusedBeforeItsDeadline() {
        PolicyTestHarness rig = new PolicyTestHarness(PolicyTestHarness.settings(8, new Kind(false, 1), false), 1);
        String id = rig.submit(0, -1, 1);
        rig.pass(20 * S);
        assertEquals("refused", rig.end(id));
    }

    @Test
    void theStoreKeepsRoom() {
        PolicyTestHarness rig = new PolicyTestHarness(PolicyTestHarness.settings(8, new Kind(false, 1), false), 1);
        for (int i = 0; i < 400; i++) {
            rig.submit(i % 2, -1, 1);
        }
        long held = rig.messages.values().stream().filter(m -> m.end == null).count();
        assertTrue(held < 300 && held > 250, held + " held");
    }

    @Test
    void aFailedSubscriptionIsRenewed() {
        Sender.Settings s = PolicyTestHarness.settings(8, new Kind(false, 1), false);
        PolicyTestHarness rig = new PolicyTestHarness(
                new Sender.Settings(
                        s.classes(),
                        s.kinds(),
                        s.tenantRates(),
                        s.slots(),
                        s.mostHeld(),
                        s.maxAttempts(),
                        s.senders(),
                        s.zone(),
                        s.worthHalves(),
                        s.overShareWorth(),
                        s.mayCancel(),
                        s.secondCopies(),
                        true,
                        s.rates(),
                        s.maxRetryAfterNs(),
                        s.drainGraceNs(),
                        s.coldShare(),
                        s.coldNs(),
                        s.fallMultiple(),
                        s.fallNs(),
                        s.keyRestNs(),
                        s.connections(),
                        s.prices()),
                1);
        rig.list(Sender.ListKind.CACHED, PolicyTestHarness.endpoint("a:1", 1, 0, Listing.READY));
        assertEquals(1, rig.subscribes);
        rig.brain.endpoints(rig.now, Sender.ListKind.FAILED, java.util.List.of());
        rig.brain.turnEnd(rig.now);
        rig.pass(1 * S);
        assertEquals(2, rig.subscribes);
        for (int i = 3;
                i < 12;
                i++) { // however long discovery was away: what it has to tell at its return counts as told 6 s after
            rig.brain.endpoints(rig.now, Sender.ListKind.FAILED, java.util.List.of());
            rig.brain.turnEnd(rig.now);
            rig.pass(5 * S);
            assertEquals(i, rig.subscribes);
        }
    }

    @Test
    void routesApartHaveBreakersOfTheirOwn() {
        PolicyTestHarness rig = new PolicyTestHarness(PolicyTestHarness.settings(8, new Kind(true, 1), false), 1);
        rig.list(
                Sender.ListKind.CACHED,
                PolicyTestHarness.endpoint("a:1", 1, 0, Listing.READY),
                PolicyTestHarness.endpoint("b:1", 1, 0, Listing.READY));
        for (int i = 0; i < 40; i++) {
            String id = rig.submit(2, -1, 1);
            rig.pass(20 * MS);
            for (PolicyTestHarness.Attempt a : rig.out()) {
                rig.answer(a, a.endpoint().equals("a:1") ? Result.CONNECT_FAILED : Result.DELIVERED, 0);
            }
            rig.brain.turnEnd(rig.now);
        }
        rig.pass(1 * S);
        rig.out().forEach(a -> assertEquals("b:1", a.endpoint()));
        assertTrue(rig.sent(rig.submit(0, -1, 1)), "the other route still serves");
    }

    @Test
    void routesApartTogetherKeepTheCapOfTheirDestination() {
        PolicyTestHarness rig = new PolicyTestHarness(PolicyTestHarness.settings(8, new Kind(true, 1), false), 1);
        rig.list(
                Sender.ListKind.CACHED,
                PolicyTestHarness.endpoint("a:1", 1, 0, Listing.READY),
                PolicyTestHarness.endpoint("b:1", 1, 0, Listing.READY));
        for (int i = 0; i < 20; i++) {
            rig.submit(0, -1, 1);
        }
        assertEquals(6, rig.out().size());
    }

    @Test
    void aBatchSharesOneTicket() {
        PolicyTestHarness rig = new PolicyTestHarness(PolicyTestHarness.settings(4, new Kind(false, 5), false), 1);
        rig.list(Sender.ListKind.CACHED, PolicyTestHarness.endpoint("a:1", 1, 0, Listing.READY));
        for (int i = 0; i < 5; i++) {
            rig.take(0, -1, 1);
        }
        rig.brain.turnEnd(rig.now);
        assertEquals(5, rig.out().size());
    }

    @Test
    void misuseIsRejected() {
        PolicyTestHarness rig = PolicyTestHarness.simple(8);
        String id = rig.submit(0, -1, 1);
        assertThrows(IllegalArgumentException.class, () -> rig.brain.message(rig.now, rig.messages.get(id).msg));
        assertThrows(IllegalArgumentException.class, () -> rig.brain.turnEnd(rig.now - 1));
        rig.brain.withdrawn(rig.now, "nobody");
        rig.brain.timer(rig.now, 99);
        rig.brain.turnEnd(rig.now);
        assertTrue(rig.sent(id));
    }

    /** Whatever ends a message ends it in that very turn, and says when to come back where it may. */
    @Test
    void aMessageGivenUpOnIsAnsweredAtOnce() {
        PolicyTestHarness spent = PolicyTestHarness.simple(8);
        String id = spent.submit(0, -1, 1);
        while (spent.messages.get(id).attempts < spent.settings.maxAttempts()) {
            if (spent.sent(id)) {
                spent.answer(id, Result.NOT_SENT);
            }
            spent.pass(20 * MS);
        }
        spent.answer(id, Result.NOT_SENT);
        assertEquals("refused", spent.end(id), "attempts spent");
        assertComeBack(spent, id);

        PolicyTestHarness late = PolicyTestHarness.simple(8);
        late.patience = 0.001;
        id = late.submit(0, -1, 1);
        assertEquals("refused", late.end(id), "too little time");
        assertEquals(late.now, late.messages.get(id).endedAt);
        assertComeBack(late, id);

        PolicyTestHarness ran = PolicyTestHarness.simple(8);
        id = ran.submit(2, -1, 1);
        ran.answer(id, Result.RESET);
        assertEquals("failed", ran.end(id), "may have run and may not be repeated");

        PolicyTestHarness store = PolicyTestHarness.simple(1);
        for (int i = 0; i <= store.settings.mostHeld(); i++) {
            store.submit(0, -1, 1);
        }
        String refused = store.messages.entrySet().stream()
                .filter(e -> e.getValue().end != null)
                .findFirst()
                .orElseThrow()
                .getKey();
        assertEquals("refused", store.end(refused), "store full");
        assertComeBack(store, refused);
    }

    private static void assertComeBack(PolicyTestHarness rig, String id) {
        String line = rig.trace.stream()
                .filter(l -> l.contains("refuse " + id))
                .findFirst()
                .orElseThrow();
        assertTrue(Long.parseLong(line.substring(line.lastIndexOf(' ') + 1)) > 0, "no come-back time: " + line);
    }
}
