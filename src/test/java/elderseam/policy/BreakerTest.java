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
            harness.advance(100 * MS);
            harness.answer(id, AttemptResult.DELIVERED);
        }
    }

    private void trip() {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            ids.add(harness.submit(2, 100 + i, 1));
        }
        for (String id : ids) {
            if (harness.isInFlight(id)) {
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
        assertEquals(6, harness.inFlight().size());
    }

    @Test
    void everyOutcomeGivesItsTicketBackOnce() {
        PolicySettings settings = PolicyTestHarness.settings(8, new DestinationKind(false, 1), false);
        for (AttemptResult result : AttemptResult.values()) {
            PolicyTestHarness sender = PolicyTestHarness.listing(settings, 3, PolicyTestHarness.ready("a:1", 1, 0));
            String id = sender.submit(0, -1, 1);
            PolicyTestHarness.Attempt attempt = sender.onlyAttempt(id);
            sender.answer(id, result);
            // a repeated outcome is passed over
            sender.policy.outcome(
                    sender.now,
                    new CompletedAttempt(id, attempt.number(), "a:1", result, 0, 0, false, false, LimitReport.NONE));
            sender.endTurn();
            sender.advance(3 * S);
            while (!sender.inFlight().isEmpty()) {
                sender.answer(sender.inFlight().get(0), AttemptResult.DELIVERED, 0);
                sender.endTurn();
            }
            sender.advance(30 * S);
            for (int i = 0; i < 20; i++) {
                sender.submit(0, -1, 1);
            }
            assertTrue(
                    sender.inFlight().size() >= 1 && sender.inFlight().size() <= 6,
                    result + ": " + sender.inFlight().size() + " out");
        }
    }

    @Test
    void halfOfTwentyCallsFailingTripsIt() {
        for (int i = 0; i < 10; i++) {
            String good = harness.submit(2, -1, 1);
            harness.advance(50 * MS);
            harness.answer(good, AttemptResult.DELIVERED);
            String bad = harness.submit(2, -1, 1);
            assertTrue(harness.isInFlight(bad), "call " + i + " below the floor");
            harness.advance(50 * MS);
            harness.answer(bad, AttemptResult.ERROR);
        }
        assertFalse(harness.isInFlight(harness.submit(2, -1, 1)), "parks once tripped");
    }

    @Test
    void consecutiveFailuresTripBelowTheMinimumOfCalls() {
        warm();
        trip();
        String parked = harness.submit(0, -1, 1);
        assertFalse(harness.isInFlight(parked));
        harness.advance(1400 * MS);
        assertFalse(harness.isInFlight(parked));
        assertEquals(null, harness.outcome(parked));
    }

    @Test
    void oneTrialAfterTheSleepWindowClosesOnSuccess() {
        warm();
        trip();
        for (int i = 0; i < 5; i++) {
            harness.submit(0, -1, 1);
        }
        harness.advance(3800 * MS);
        assertEquals(1, harness.inFlight().size(), "one live trial");
        harness.answerAll(AttemptResult.DELIVERED);
        harness.advance(5 * S);
        assertTrue(harness.inFlight().size() >= 1, "closed again");
        assertTrue(
                harness.inFlight().size() <= 4,
                "warms up, no burst: " + harness.inFlight().size());
    }

    @Test
    void aFailedTrialOpensAgain() {
        warm();
        trip();
        String id = harness.submit(0, -1, 1);
        for (int i = 0; i < 500 && harness.inFlight().isEmpty(); i++) {
            harness.advance(5 * MS);
        }
        harness.answer(id, AttemptResult.CONNECT_FAILED);
        harness.advance(1400 * MS);
        assertEquals(0, harness.inFlight().size());
        harness.advance(10 * S);
        assertEquals(1, harness.inFlight().size());
    }

    @Test
    void theTrialIsASafeRequestWhereOneWaits() {
        warm();
        trip();
        harness.submit(2, 1, 1);
        String safe = harness.submit(0, -1, 1);
        harness.advance(3800 * MS);
        assertTrue(harness.isInFlight(safe));
        assertEquals(1, harness.inFlight().size());
    }

    @Test
    void hungCallsTripBeforeTheirTimeOut() {
        warm();
        for (int i = 0; i < 3; i++) {
            harness.submit(2, -1, 1);
        }
        harness.advance(2200 * MS);
        assertFalse(harness.isInFlight(harness.submit(0, -1, 1)), "parks");
        assertTrue(harness.trace.stream().anyMatch(line -> line.contains("hung calls")));
    }

    /** i2bf2c3: a lost answer must neither hold its ticket to the deadline nor trip a live destination. */
    @Test
    void anAttemptIsCancelledWhenItsAnswerIsLost() {
        warm();
        String lost = harness.submit(0, -1, 1);
        for (int i = 0; i < 20; i++) {
            String id = harness.submit(0, -1, 1);
            harness.advance(100 * MS);
            if (harness.isInFlight(id)) {
                harness.answer(id, AttemptResult.DELIVERED);
            }
        }
        assertTrue(harness.trace.stream().anyMatch(line -> line.contains("cancel " + lost)));
        assertTrue(harness.trace.stream().noneMatch(line -> line.contains("hung")));
    }

    @Test
    void aRetryAfterIsKeptExactly() {
        warm();
        String id = harness.submit(0, -1, 1);
        harness.answer(harness.onlyAttempt(id), AttemptResult.FULL, 700 * MS);
        harness.endTurn();
        harness.advance(695 * MS);
        assertEquals(0, harness.inFlight().size());
        harness.advance(2 * S);
        assertEquals(1, harness.inFlight().size());
    }

    /** isolates: once failing, a destination holds at most half of the slots, here a quarter, also while it hangs. */
    @Test
    void aFailingDestinationHoldsAtMostHalfOfTheSlots() {
        PolicyTestHarness sender = PolicyTestHarness.simple(16);
        for (int i = 0; i < 2; i++) {
            sender.answer(sender.submit(0, -1, 1), AttemptResult.ERROR);
        }
        for (int i = 0; i < 20; i++) {
            sender.submit(0, -1, 1);
        }
        assertTrue(sender.inFlight().size() <= 8, sender.inFlight().size() + " of 16 slots at a failing destination");
        assertTrue(sender.inFlight().size() >= 1, "it is still tried");
    }

    /**
     * A keyed message goes again only within its window. A call decided just before the window ends may find its connection
     * late: the last look before its bytes leave says no then (a job-order was sent outside its window on rate+silent+leave).
     */
    @Test
    void aCallDecidedInTheKeysWindowDoesNotBeginAfterIt() {
        PolicyTestHarness sender = PolicyTestHarness.simple(8);
        String id = sender.submit(1, -1, 1);
        sender.answer(id, AttemptResult.TIMEOUT); // it may have run: 6 s from its start
        sender.advance(300 * MS);
        assertTrue(sender.isInFlight(id) && sender.inFlight().size() == 1, "tried again within the window");
        assertTrue(sender.policy.mayStart(sender.now, id, "a:1"));
        sender.advance(5_800 * MS);
        assertFalse(sender.policy.mayStart(sender.now, id, "a:1"), "the window is over");
        assertFalse(sender.policy.mayStart(sender.now, "unknown", "a:1"), "nothing is held under that id");
    }

    /** id079ed: where answers get lost, a call that serves more messages goes first. */
    @Test
    void aLargerBatchGoesFirst() {
        PolicyTestHarness sender = PolicyTestHarness.listing(
                PolicyTestHarness.settings(1, new DestinationKind(false, 5), false),
                1,
                PolicyTestHarness.ready("a:1", 1, 0),
                PolicyTestHarness.ready("b:1", 2, 0));
        sender.accept(0, -1, 1);
        for (int i = 0; i < 4; i++) {
            sender.accept(0, -1, 2);
        }
        sender.endTurn();
        assertEquals(4, sender.inFlight().size());
        sender.inFlight().forEach(attempt -> assertEquals("b:1", attempt.endpoint()));
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
            harness.advance(10 * MS);
            delivered += harness.answerAll(AttemptResult.DELIVERED);
        }
        assertTrue(delivered >= 1 && delivered <= 6, delivered + " in the 2 s after the trial");
    }

    /** Cost follows what is going on, not the length of the list: an idle sender sets no timer at all. */
    @Test
    void anIdleSenderWithALongListSetsNoTimers() {
        PolicyTestHarness sender =
                new PolicyTestHarness(PolicyTestHarness.settings(8, new DestinationKind(false, 1), false), 1);
        ListedEndpoint[] many = new ListedEndpoint[2000];
        for (int i = 0; i < many.length; i++) {
            many[i] = PolicyTestHarness.ready("a:" + i, i, 0);
        }
        sender.list(ListUpdateKind.CACHED, many);
        String id = sender.submit(0, -1, 7);
        sender.advance(100 * MS);
        sender.answer(id, AttemptResult.DELIVERED);
        sender.advance(60 * S);
        assertTrue(sender.timersSet <= 3, sender.timersSet + " timers for one call");
        assertEquals(0, sender.timers.size());
    }

    /** While requests wait, the timer is set for the end of the sleep and their deadlines: no poll. */
    @Test
    void aSleepingBreakerIsNotPolled() {
        warm();
        trip();
        harness.submit(2, -1, 1);
        int before = harness.timersSet;
        harness.advance(2200 * MS);
        assertTrue(harness.timersSet - before <= 12, harness.timersSet - before + " timers");
    }

    private static PolicyTestHarness shared(int senders, long seed) {
        PolicySettings settings = PolicySettingsBuilder.with(3, new DestinationKind(false, 1), false)
                .senderCount(senders)
                .weightPrecision(WeightPrecision.ROUGH)
                .build();
        PolicyTestHarness sender = PolicyTestHarness.listing(
                settings,
                seed,
                new ListedEndpoint("a:1", 1, 0, 0, EndpointStatus.READY, 3),
                new ListedEndpoint("b:1", 1, 0, 0, EndpointStatus.READY, 3));
        return sender;
    }

    /** Later days: hundreds of senders knew of an outage and came back at once; their sum must stay small. */
    @Test
    void manySendersStayUnderWhatAReturningDestinationWithstands() {
        for (AttemptResult fault : List.of(AttemptResult.FULL, AttemptResult.CONNECT_FAILED)) {
            int early = 0;
            int late = 0;
            for (int i = 0; i < 60; i++) {
                PolicyTestHarness sender = shared(60, i);
                sender.submit(0, -1, 1);
                for (int step = 0; step < 400; step++) { // 20 s of outage
                    sender.advance(50 * MS);
                    int calls = sender.answerAll(fault);
                    early += step < 200 ? calls : 0;
                    late += step < 200 ? 0 : calls;
                }
            }
            assertTrue(late <= 60, fault + ": " + late + " calls from 60 senders in the second 10 s");
            assertTrue(early <= 180, fault + ": " + early + " in the first");
        }
    }

    /** Later Kingston: one endpoint fails one class; the others go on there and the breaker stays closed. */
    @Test
    void anEndpointIsEjectedOnlyForTheClassThatFails() {
        PolicyTestHarness sender = PolicyTestHarness.listing(
                PolicyTestHarness.settings(12, new DestinationKind(false, 1), false),
                5,
                PolicyTestHarness.ready("a:1", 1, 0),
                PolicyTestHarness.ready("b:1", 1, 1)); // farther: taken only instead
        int failed = 0;
        int others = 0;
        for (int i = 0; i < 300; i++) {
            sender.submit(i % 2 == 0 ? 2 : 0, -1, 1);
            sender.advance(100 * MS);
            for (PolicyTestHarness.Attempt attempt : sender.inFlight()) {
                boolean payment = sender.requests.get(attempt.id()).request.requestClass() == 2;
                if (attempt.endpoint().equals("a:1") && payment) {
                    failed += i >= 100 ? 1 : 0;
                    sender.answer(attempt, AttemptResult.ERROR, 0);
                } else {
                    others += attempt.endpoint().equals("a:1") ? 1 : 0;
                    sender.answer(attempt, AttemptResult.DELIVERED, 0);
                }
            }
            sender.endTurn();
        }
        assertTrue(failed <= 10, failed + " of 100 sent where they fail");
        assertTrue(others >= 30, others + " of the other class served there");
        assertFalse(sender.trace.stream().anyMatch(line -> line.contains("log open")), "stays closed");
    }

    /** Overload day: couriers that knew sent a partly failing route twice its rate, and on to its return. */
    @Test
    void aMostlyFailingSharedDestinationCountsAsCold() {
        PolicyTestHarness sender = shared(40, 3);
        int sent = 0;
        for (int step = 0; step < 400; step++) { // 20 s: two of three calls fail, never four in a row
            if (step % 10 == 0) {
                sender.submit(0, -1, 1);
            }
            for (PolicyTestHarness.Attempt attempt : sender.inFlight()) {
                sender.answer(attempt, sent++ % 3 == 2 ? AttemptResult.DELIVERED : AttemptResult.ERROR, 0);
            }
            sender.endTurn();
            sender.advance(50 * MS);
        }
        assertTrue(sent <= 20, sent + " calls in 20 s, twice a second handed in");
    }

    /** Incident i527d1f: 214 of 411 couriers called a refusing route twice each, the second a second later. */
    @Test
    void theFirstBackOffIsLongAfterAFailedConnectionAndShortAfterFull() {
        PolicyTestHarness down = shared(200, 3);
        PolicyTestHarness full = shared(200, 3);
        down.advance(S);
        down.answer(down.submit(0, -1, 1), AttemptResult.CONNECT_FAILED);
        full.answer(full.submit(0, -1, 1), AttemptResult.FULL);
        down.advance(2500 * MS);
        full.advance(2500 * MS);
        assertEquals(0, down.inFlight().size(), "hundreds may wait for its return");
        assertEquals(1, full.inFlight().size(), "a limit has room again soon");
    }

    /** Hunted day hae3b2f: couriers that had seen refusals only called on, second after second, to the return. */
    @Test
    void aSecondFullWithoutADeliveryBacksOffLonger() {
        for (long seed = 1; seed <= 20; seed++) {
            PolicyTestHarness sender = shared(200, seed);
            sender.advance(S);
            String id = sender.submit(0, -1, 1);
            sender.answer(id, AttemptResult.FULL);
            sender.advance(2 * S);
            sender.answer(id, AttemptResult.FULL);
            sender.advance(14 * S);
            assertEquals(2, sender.requests.get(id).attempts, "seed " + seed);
        }
    }

    /** Hunted day h91a4c8: a shut destination told 278 couriers the same end, and all came in that second. */
    @Test
    void manySendersDoNotReturnTogetherAfterALongRetryAfter() {
        int atOnce = 0;
        for (long seed = 1; seed <= 40; seed++) {
            PolicyTestHarness sender = shared(200, seed);
            sender.advance(S);
            String id = sender.submit(0, -1, 1);
            sender.answer(sender.onlyAttempt(id), AttemptResult.FULL, 5000 * MS);
            sender.endTurn();
            sender.advance(5500 * MS);
            atOnce += sender.isInFlight(id) ? 1 : 0;
        }
        assertTrue(atOnce <= 8, atOnce + " of 40 within half a second of the end");
    }
}
