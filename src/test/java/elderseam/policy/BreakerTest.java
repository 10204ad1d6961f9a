package elderseam.policy;

import static elderseam.policy.PolicyTestHarness.MS;
import static elderseam.policy.PolicyTestHarness.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BreakerTest {
    private final PolicyTestHarness harness = PolicyTestHarness.simple(8);

    private void warm() {
        for (int i = 0; i < 12; i++) {
            String id = harness.submit(0, -1, 1);
            harness.pass(100 * MS);
            harness.answer(id, AttemptResult.DELIVERED);
        }
    }

    private void trip() {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            ids.add(harness.submit(2, 100 + i, 1));
        }
        for (String id : ids) {
            if (harness.sent(id)) {
                harness.answer(id, AttemptResult.ERROR);
            }
        }
    }

    @Test
    void ticketsAreThreeQuartersOfTheSlotsAtMost() {
        warm();
        for (int i = 0; i < 20; i++) {
            harness.submit(0, -1, 1);
        }
        assertEquals(6, harness.out().size());
    }

    @Test
    void everyOutcomeGivesItsTicketBackOnce() {
        PolicySettings settings = PolicyTestHarness.settings(8, new DestinationKind(false, 1), false);
        for (AttemptResult result : AttemptResult.values()) {
            PolicyTestHarness r = new PolicyTestHarness(settings, 3);
            r.list(ListUpdateKind.CACHED, PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.READY));
            String id = r.submit(0, -1, 1);
            PolicyTestHarness.Attempt a = r.only(id);
            r.answer(id, result);
            // a repeated outcome is passed over
            r.policy.outcome(
                    r.now, new CompletedAttempt(id, a.number(), "a:1", result, 0, 0, false, false, LimitReport.NONE));
            r.policy.turnEnd(r.now);
            r.pass(3 * S);
            while (!r.out().isEmpty()) {
                r.answer(r.out().get(0), AttemptResult.DELIVERED, 0);
                r.policy.turnEnd(r.now);
            }
            r.pass(30 * S);
            for (int i = 0; i < 20; i++) {
                r.submit(0, -1, 1);
            }
            assertTrue(
                    r.out().size() >= 1 && r.out().size() <= 6,
                    result + ": " + r.out().size() + " out");
        }
    }

    @Test
    void halfOfTwentyCallsFailingTripsIt() {
        for (int i = 0; i < 10; i++) {
            String good = harness.submit(2, -1, 1);
            harness.pass(50 * MS);
            harness.answer(good, AttemptResult.DELIVERED);
            String bad = harness.submit(2, -1, 1);
            assertTrue(harness.sent(bad), "call " + i + " below the floor");
            harness.pass(50 * MS);
            harness.answer(bad, AttemptResult.ERROR);
        }
        assertFalse(harness.sent(harness.submit(2, -1, 1)), "parks once tripped");
    }

    @Test
    void consecutiveFailuresTripBelowTheMinimumOfCalls() {
        warm();
        trip();
        String parked = harness.submit(0, -1, 1);
        assertFalse(harness.sent(parked));
        harness.pass(1400 * MS);
        assertFalse(harness.sent(parked));
        assertEquals(null, harness.end(parked));
    }

    @Test
    void oneTrialAfterTheSleepWindowClosesOnSuccess() {
        warm();
        trip();
        for (int i = 0; i < 5; i++) {
            harness.submit(0, -1, 1);
        }
        harness.pass(3800 * MS);
        assertEquals(1, harness.out().size(), "one live trial");
        harness.answer(harness.out().get(0), AttemptResult.DELIVERED, 0);
        harness.policy.turnEnd(harness.now);
        harness.pass(5 * S);
        assertTrue(harness.out().size() >= 1, "closed again");
        assertTrue(
                harness.out().size() <= 4,
                "warms up, no burst: " + harness.out().size());
    }

    @Test
    void aFailedTrialOpensAgain() {
        warm();
        trip();
        String id = harness.submit(0, -1, 1);
        for (int i = 0; i < 500 && harness.out().isEmpty(); i++) {
            harness.pass(5 * MS);
        }
        harness.answer(id, AttemptResult.CONNECT_FAILED);
        harness.pass(1400 * MS);
        assertEquals(0, harness.out().size());
        harness.pass(10 * S);
        assertEquals(1, harness.out().size());
    }

    @Test
    void theTrialIsASafeRequestWhereOneWaits() {
        warm();
        trip();
        harness.submit(2, 1, 1);
        String safe = harness.submit(0, -1, 1);
        harness.pass(3800 * MS);
        assertTrue(harness.sent(safe));
        assertEquals(1, harness.out().size());
    }

    @Test
    void hungCallsTripBeforeTheirTimeOut() {
        warm();
        for (int i = 0; i < 3; i++) {
            harness.submit(2, -1, 1);
        }
        harness.pass(2200 * MS);
        assertFalse(harness.sent(harness.submit(0, -1, 1)), "parks");
        assertTrue(harness.trace.stream().anyMatch(l -> l.contains("hung calls")));
    }

    /** i2bf2c3: a lost answer must neither hold its ticket to the deadline nor trip a live destination. */
    @Test
    void anAttemptIsCancelledWhenItsAnswerIsLost() {
        warm();
        String lost = harness.submit(0, -1, 1);
        for (int i = 0; i < 20; i++) {
            String id = harness.submit(0, -1, 1);
            harness.pass(100 * MS);
            if (harness.sent(id)) {
                harness.answer(id, AttemptResult.DELIVERED);
            }
        }
        assertTrue(harness.trace.stream().anyMatch(l -> l.contains("cancel " + lost)));
        assertTrue(harness.trace.stream().noneMatch(l -> l.contains("hung")));
    }

    @Test
    void aRetryAfterIsKeptExactly() {
        warm();
        String id = harness.submit(0, -1, 1);
        harness.answer(harness.only(id), AttemptResult.FULL, 700 * MS);
        harness.policy.turnEnd(harness.now);
        harness.pass(695 * MS);
        assertEquals(0, harness.out().size());
        harness.pass(2 * S);
        assertEquals(1, harness.out().size());
    }

    /** isolates: once failing, a destination holds at most half of the slots, here a quarter, also while it hangs. */
    @Test
    void aFailingDestinationHoldsAtMostHalfOfTheSlots() {
        PolicyTestHarness r = PolicyTestHarness.simple(16);
        for (int i = 0; i < 2; i++) {
            r.answer(r.submit(0, -1, 1), AttemptResult.ERROR);
        }
        for (int i = 0; i < 20; i++) {
            r.submit(0, -1, 1);
        }
        assertTrue(r.out().size() <= 8, r.out().size() + " of 16 slots at a failing destination");
        assertTrue(r.out().size() >= 1, "it is still tried");
    }

    /**
     * A keyed message goes again only within its window. A call decided just before the window ends may find its connection
     * late: the last look before its bytes leave says no then (a job-order was sent outside its window on rate+silent+leave).
     */
    @Test
    void aCallDecidedInTheKeysWindowDoesNotBeginAfterIt() {
        PolicyTestHarness r = PolicyTestHarness.simple(8);
        String id = r.submit(1, -1, 1);
        r.answer(id, AttemptResult.TIMEOUT); // it may have run: 6 s from its start
        r.pass(300 * MS);
        assertTrue(r.sent(id) && r.out().size() == 1, "tried again within the window");
        assertTrue(r.policy.mayStart(r.now, id, "a:1"));
        r.pass(5_800 * MS);
        assertFalse(r.policy.mayStart(r.now, id, "a:1"), "the window is over");
        assertFalse(r.policy.mayStart(r.now, "unknown", "a:1"), "nothing is held under that id");
    }

    /** id079ed: where answers get lost, a call that serves more messages goes first. */
    @Test
    void aLargerBatchGoesFirst() {
        PolicyTestHarness r =
                new PolicyTestHarness(PolicyTestHarness.settings(1, new DestinationKind(false, 5), false), 1);
        r.list(
                ListUpdateKind.CACHED,
                PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.READY),
                PolicyTestHarness.endpoint("b:1", 2, 0, EndpointStatus.READY));
        r.take(0, -1, 1);
        for (int i = 0; i < 4; i++) {
            r.take(0, -1, 2);
        }
        r.policy.turnEnd(r.now);
        assertEquals(4, r.out().size());
        r.out().forEach(a -> assertEquals("b:1", a.endpoint()));
    }

    /** The parked backlog never bursts: sends after an outage stay under the multiple of the cold share. */
    @Test
    void theBacklogIsReleasedBelowTheOverloadMultiple() {
        warm();
        trip();
        for (int i = 0; i < 60; i++) {
            harness.submit(0, -1, 1);
        }
        int delivered = 0;
        for (int i = 0; i < 500; i++) {
            harness.pass(10 * MS);
            for (PolicyTestHarness.Attempt a : harness.out()) {
                harness.answer(a, AttemptResult.DELIVERED, 0);
                delivered++;
            }
            harness.policy.turnEnd(harness.now);
        }
        assertTrue(delivered >= 1 && delivered <= 6, delivered + " in the 2 s after the trial");
    }

    /** Cost follows what is going on, not the length of the list: an idle sender sets no timer at all. */
    @Test
    void anIdleSenderWithALongListSetsNoTimers() {
        PolicyTestHarness r =
                new PolicyTestHarness(PolicyTestHarness.settings(8, new DestinationKind(false, 1), false), 1);
        ListedEndpoint[] many = new ListedEndpoint[2000];
        for (int i = 0; i < many.length; i++) {
            many[i] = PolicyTestHarness.endpoint("a:" + i, i, 0, EndpointStatus.READY);
        }
        r.list(ListUpdateKind.CACHED, many);
        String id = r.submit(0, -1, 7);
        r.pass(100 * MS);
        r.answer(id, AttemptResult.DELIVERED);
        r.pass(60 * S);
        assertTrue(r.timersSet <= 3, r.timersSet + " timers for one call");
        assertEquals(0, r.timers.size());
    }

    /** While requests wait, the timer is set for the end of the sleep and their deadlines: no poll. */
    @Test
    void aSleepingBreakerIsNotPolled() {
        warm();
        trip();
        harness.submit(2, -1, 1);
        int before = harness.timersSet;
        harness.pass(2200 * MS);
        assertTrue(harness.timersSet - before <= 12, harness.timersSet - before + " timers");
    }

    private static PolicyTestHarness shared(int senders, long seed) {
        PolicySettings s = PolicyTestHarness.settings(3, new DestinationKind(false, 1), false);
        PolicyTestHarness r = new PolicyTestHarness(
                new PolicySettings(
                        s.classes(),
                        s.kinds(),
                        s.tenantRates(),
                        s.slots(),
                        s.maxHeld(),
                        s.maxAttempts(),
                        senders,
                        0,
                        true,
                        1,
                        true,
                        false,
                        false,
                        WeightPrecision.ROUGH,
                        s.maxRetryAfterNs(),
                        s.drainGraceNs(),
                        s.coldRateRatio(),
                        s.warmUpNs(),
                        s.overloadMultiple(),
                        s.overloadNs(),
                        s.keyRestNs(),
                        s.connections(),
                        s.prices()),
                seed);
        r.list(
                ListUpdateKind.CACHED,
                new ListedEndpoint("a:1", 1, 0, 0, EndpointStatus.READY, 3),
                new ListedEndpoint("b:1", 1, 0, 0, EndpointStatus.READY, 3));
        return r;
    }

    /** Later days: hundreds of senders knew of an outage and came back at once; their sum must stay small. */
    @Test
    void manySendersStayUnderWhatAReturningDestinationWithstands() {
        for (AttemptResult fault : List.of(AttemptResult.FULL, AttemptResult.CONNECT_FAILED)) {
            int early = 0;
            int late = 0;
            for (int i = 0; i < 60; i++) {
                PolicyTestHarness r = shared(60, i);
                r.submit(0, -1, 1);
                for (int step = 0; step < 400; step++) { // 20 s of outage
                    r.pass(50 * MS);
                    for (PolicyTestHarness.Attempt a : r.out()) {
                        r.answer(a, fault, 0);
                        early += step < 200 ? 1 : 0;
                        late += step < 200 ? 0 : 1;
                    }
                    r.policy.turnEnd(r.now);
                }
            }
            assertTrue(late <= 60, fault + ": " + late + " calls from 60 senders in the second 10 s");
            assertTrue(early <= 180, fault + ": " + early + " in the first");
        }
    }

    /** Later Kingston: one endpoint fails one class; the others go on there and the breaker stays closed. */
    @Test
    void anEndpointIsEjectedOnlyForTheClassThatFails() {
        PolicyTestHarness r =
                new PolicyTestHarness(PolicyTestHarness.settings(12, new DestinationKind(false, 1), false), 5);
        r.list(
                ListUpdateKind.CACHED,
                PolicyTestHarness.endpoint("a:1", 1, 0, EndpointStatus.READY),
                PolicyTestHarness.endpoint("b:1", 1, 1, EndpointStatus.READY)); // farther: taken only instead
        int failed = 0;
        int others = 0;
        for (int i = 0; i < 300; i++) {
            r.submit(i % 2 == 0 ? 2 : 0, -1, 1);
            r.pass(100 * MS);
            for (PolicyTestHarness.Attempt a : r.out()) {
                boolean payment = r.messages.get(a.id()).msg.requestClass() == 2;
                if (a.endpoint().equals("a:1") && payment) {
                    failed += i >= 100 ? 1 : 0;
                    r.answer(a, AttemptResult.ERROR, 0);
                } else {
                    others += a.endpoint().equals("a:1") ? 1 : 0;
                    r.answer(a, AttemptResult.DELIVERED, 0);
                }
            }
            r.policy.turnEnd(r.now);
        }
        assertTrue(failed <= 10, failed + " of 100 sent where they fail");
        assertTrue(others >= 30, others + " of the other class served there");
        assertFalse(r.trace.stream().anyMatch(l -> l.contains("log open")), "stays closed");
    }

    /** Overload day: couriers that knew sent a partly failing route twice its rate, and on to its return. */
    @Test
    void aMostlyFailingSharedDestinationCountsAsCold() {
        PolicyTestHarness r = shared(40, 3);
        int sent = 0;
        for (int step = 0; step < 400; step++) { // 20 s: two of three calls fail, never four in a row
            if (step % 10 == 0) {
                r.submit(0, -1, 1);
            }
            for (PolicyTestHarness.Attempt a : r.out()) {
                r.answer(a, sent++ % 3 == 2 ? AttemptResult.DELIVERED : AttemptResult.ERROR, 0);
            }
            r.policy.turnEnd(r.now);
            r.pass(50 * MS);
        }
        assertTrue(sent <= 20, sent + " calls in 20 s, twice a second handed in");
    }

    /** Incident i527d1f: 214 of 411 couriers called a refusing route twice each, the second a second later. */
    @Test
    void theFirstBackOffIsLongAfterAFailedConnectionAndShortAfterFull() {
        PolicyTestHarness down = shared(200, 3);
        PolicyTestHarness full = shared(200, 3);
        down.pass(S);
        down.answer(down.submit(0, -1, 1), AttemptResult.CONNECT_FAILED);
        full.answer(full.submit(0, -1, 1), AttemptResult.FULL);
        down.pass(2500 * MS);
        full.pass(2500 * MS);
        assertEquals(0, down.out().size(), "hundreds may wait for its return");
        assertEquals(1, full.out().size(), "a limit has room again soon");
    }

    /** Hunted day hae3b2f: couriers that had seen refusals only called on, second after second, to the return. */
    @Test
    void aSecondFullWithoutADeliveryBacksOffLonger() {
        for (long seed = 1; seed <= 20; seed++) {
            PolicyTestHarness r = shared(200, seed);
            r.pass(S);
            String id = r.submit(0, -1, 1);
            r.answer(id, AttemptResult.FULL);
            r.pass(2 * S);
            r.answer(id, AttemptResult.FULL);
            r.pass(14 * S);
            assertEquals(2, r.messages.get(id).attempts, "seed " + seed);
        }
    }

    /** Hunted day h91a4c8: a shut destination told 278 couriers the same end, and all came in that second. */
    @Test
    void manySendersDoNotReturnTogetherAfterALongRetryAfter() {
        int atOnce = 0;
        for (long seed = 1; seed <= 40; seed++) {
            PolicyTestHarness r = shared(200, seed);
            r.pass(S);
            String id = r.submit(0, -1, 1);
            r.answer(r.only(id), AttemptResult.FULL, 5000 * MS);
            r.policy.turnEnd(r.now);
            r.pass(5500 * MS);
            atOnce += r.sent(id) ? 1 : 0;
        }
        assertTrue(atOnce <= 8, atOnce + " of 40 within half a second of the end");
    }
}
