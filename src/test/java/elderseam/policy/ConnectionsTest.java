package elderseam.policy;

import static elderseam.policy.PolicyTestHarness.MS;
import static elderseam.policy.PolicyTestHarness.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What is done with connections that stay idle. */
class ConnectionsTest {
    private final PolicyTestHarness harness = new PolicyTestHarness(many(false, WeightPrecision.UNKNOWN), 7);

    ConnectionsTest() {
        harness.list(ListUpdateKind.CACHED, PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.READY));
    }

    private static PolicySettings many(boolean apart, WeightPrecision rates) {
        PolicySettings s = PolicyTestHarness.settings(8, new DestinationKind(apart, 1), false);
        return new PolicySettings(
                s.classes(),
                s.kinds(),
                s.tenantRates(),
                s.slots(),
                s.maxHeld(),
                s.maxAttempts(),
                200,
                0,
                true,
                1,
                true,
                false,
                false,
                rates,
                s.maxRetryAfterNs(),
                s.drainGraceNs(),
                s.coldRateRatio(),
                s.warmUpNs(),
                s.overloadMultiple(),
                s.overloadNs(),
                s.keyRestNs(),
                s.connections(),
                s.prices());
    }

    private long disconnects(String endpoint) {
        return harness.trace.stream()
                .filter(l -> l.endsWith("disconnect " + endpoint))
                .count();
    }

    private void deliver(long dest) {
        String id = harness.submit(0, -1, dest);
        harness.pass(50 * MS);
        harness.answer(id, AttemptResult.DELIVERED);
        harness.pass(50 * MS);
    }

    /** 20 to 53% of attempts at endpoints of few connections found them taken by idle ones. */
    @Test
    void idleConnectionsAreClosedOnceOneFailedToOpen() {
        harness.list(ListUpdateKind.CHANGES, PolicyTestHarness.endpoint("b:1", 2, 0, EndpointStatus.READY));
        deliver(1);
        assertEquals(0, disconnects("a:1"), "kept while all connect");
        harness.answer(harness.submit(0, -1, 2), AttemptResult.CONNECT_FAILED);
        assertEquals(1, disconnects("a:1"), "the one held gives its room to others");
        harness.pass(2 * S);
        deliver(1);
        assertEquals(2, disconnects("a:1"), "later ones are closed after their use");
    }

    @Test
    void aConnectionThatTheNextMessageUsesStaysOpen() {
        harness.answer(harness.submit(0, -1, 1), AttemptResult.CONNECT_FAILED);
        harness.pass(S);
        long before = disconnects("a:1");
        List<PolicyTestHarness.Attempt> out = harness.out();
        harness.take(1, -1, 1);
        out.forEach(a -> harness.answer(a, AttemptResult.DELIVERED, 0));
        harness.policy.turnEnd(harness.now);
        assertTrue(!harness.out().isEmpty(), "the next goes in the same turn");
        int last = harness.trace.size() - 1;
        assertTrue(
                harness.trace.subList(0, last).stream().noneMatch(l -> l.startsWith(harness.now + " disconnect")),
                "closed only after the sends: " + before);
    }

    /** Connections dropped unseen after a second without use: every fifth call of a large kind was lost. */
    @Test
    void aCallLostOnAnIdleConnectionGoesAgainAndLaterOnesOpenNew() {
        deliver(1);
        harness.pass(3 * S);
        String lost = harness.submit(0, -1, 1);
        assertEquals(0, disconnects("a:1"), "an idle connection is used while none has done harm");
        harness.pass(3 * S);
        assertTrue(harness.messages.get(lost).attempts > 1, "cut once overdue and sent again, with no other evidence");
        harness.answer(lost, AttemptResult.DELIVERED);
        harness.pass(2 * S);
        long before = disconnects("a:1");
        harness.submit(2, -1, 1);
        assertEquals(before + 1, disconnects("a:1"), "idle for longer than half of what was lost: a new one");
    }

    /** A call that breaks off in the middle says nothing of idling: every such reset used to halve what a kind keeps. */
    @Test
    void aLateResetIsNoSignOfIdling() {
        PolicyTestHarness few = PolicyTestHarness.simple(8);
        String first = few.submit(0, -1, 1);
        few.pass(50 * MS);
        few.answer(first, AttemptResult.DELIVERED);
        for (int i = 0; i < 2; i++) {
            few.pass(3 * S);
            String broken = few.submit(0, -1, 1);
            few.pass(200 * MS);
            few.answer(broken, AttemptResult.RESET);
            few.pass(S);
            few.answer(broken, AttemptResult.DELIVERED);
        }
        assertTrue(few.trace.stream().noneMatch(l -> l.contains("disconnect")), few.trace.toString());
    }

    /** Ties went to the first listed endpoint: at fjordvik all couriers sent to one route of three. */
    @Test
    void sendersSpreadOverRoutesByTheirRates() {
        int[] sent = new int[2];
        for (int seed = 0; seed < 60; seed++) {
            PolicyTestHarness r = new PolicyTestHarness(many(true, WeightPrecision.EXACT), seed);
            r.list(
                    ListUpdateKind.CACHED,
                    new ListedEndpoint("a:1", 1, 0, 0, EndpointStatus.READY, 2),
                    new ListedEndpoint("b:1", 1, 0, 0, EndpointStatus.READY, 6));
            sent[r.only(r.submit(0, -1, 1)).endpoint().equals("a:1") ? 0 : 1]++;
        }
        assertTrue(sent[0] >= 5 && sent[1] >= 35, sent[0] + " to the small route, " + sent[1] + " to the large");
    }

    @Test
    void anExpensiveRouteIsUsedOnlyWhileTheCheapOneIsEjected() {
        PolicySettings s = PolicyTestHarness.settings(8, new DestinationKind(true, 1), false);
        PolicyTestHarness r = new PolicyTestHarness(
                new PolicySettings(
                        s.classes(),
                        s.kinds(),
                        s.tenantRates(),
                        s.slots(),
                        s.maxHeld(),
                        s.maxAttempts(),
                        2,
                        0,
                        true,
                        1,
                        true,
                        false,
                        false,
                        WeightPrecision.UNKNOWN,
                        s.maxRetryAfterNs(),
                        s.drainGraceNs(),
                        s.coldRateRatio(),
                        s.warmUpNs(),
                        s.overloadMultiple(),
                        s.overloadNs(),
                        s.keyRestNs(),
                        s.connections(),
                        new PriceSettings(0, 0, List.of(1.0))),
                5);
        r.list(
                ListUpdateKind.CACHED,
                PolicyTestHarness.endpoint("dear:1", 1, 0, EndpointStatus.READY),
                PolicyTestHarness.endpoint("cheap:1", 1, 1, EndpointStatus.READY));
        String first = r.submit(0, -1, 1);
        assertEquals("cheap:1", r.only(first).endpoint());
        r.answer(first, AttemptResult.ERROR);
        r.pass(S / 2);
        assertEquals("dear:1", r.only(first).endpoint(), "a failing cheap route loses to a dear one");
    }
}
