package elderseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.policy.EndpointStatus;
import elderseam.policy.ListUpdateKind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the dispatcher without sockets: acceptance, attempts and final outcomes. */
class RequestDispatcherTest {
    private static final long RETRY_AFTER_NS = 3_000 * Clock.MILLISECOND_NS;
    private static final AttemptOutcome OVERLOADED =
            new AttemptOutcome(Progress.ANSWERED, Status.OVERLOADED, RETRY_AFTER_NS, 0, 0);

    @TempDir
    Path folder;

    private DispatcherHarness harness;

    @BeforeEach
    void start() throws IOException {
        harness = new DispatcherHarness(folder);
    }

    /** A tick before the scheduled one must replace its timer rather than add one, or timers would accumulate. */
    @Test
    void timersDoNotAccumulate() {
        harness.submit("a"); // schedules a tick in 1 s, when the attempt may be overdue
        harness.end(0, DispatcherHarness.NO_SLOT); // schedules a tick in 5 ms for the retry
        assertEquals(2, harness.timers.size());
        for (int round = 0; round < 5; round++) {
            List<Runnable> due = List.copyOf(harness.timers);
            harness.timers.clear();
            due.forEach(Runnable::run);
        }
        assertEquals(1, harness.timers.size());
    }

    /** After a failed watch the policy only schedules a tick for the next watch request, which must not get lost. */
    @Test
    void aTickIsScheduledWithoutAnyOtherDecision() {
        harness.dispatcher.updateEndpoints(ListUpdateKind.FAILED, List.of());
        assertEquals(1, harness.timers.size());
    }

    /** A message for a destination that is not on the list is rejected and not written to the journal. */
    @Test
    void anUnknownDestinationIsRejected() throws IOException {
        long bytesBefore = Files.size(folder.resolve("journal"));
        Optional<FinalOutcome> outcome = harness.submit("x", 99);
        assertEquals(FinalOutcome.Kind.REJECTED, outcome.orElseThrow().kind());
        assertEquals(bytesBefore, Files.size(folder.resolve("journal")));
        harness.dispatcher.updateEndpoints(
                ListUpdateKind.CHANGES, List.of(DispatcherHarness.endpoint(EndpointStatus.GONE)));
        assertEquals(
                Optional.empty(),
                harness.submit("y"),
                "its last endpoint was removed only recently, and another may be added");
    }

    /** Guards against a dispatcher that never decides again once a turn has thrown, and takes requests on all the same. */
    @Test
    void aTurnThatThrowsDoesNotEndTheTurns() {
        harness.sendFailure = new IllegalStateException("planted");
        assertEquals(Optional.empty(), harness.submit("a"));
        assertEquals(Optional.empty(), harness.submit("b"));
        assertEquals(List.of("b"), harness.attemptIds);
        assertEquals(List.of(), harness.failures);
    }

    /** Guards against a process that lives on after an error in a turn; who requested the turn may swallow the error. */
    @Test
    void anErrorInATurnEndsTheProcess() {
        harness.sendFailure = new StackOverflowError("planted");
        Throwable planted = harness.sendFailure;
        assertThrows(StackOverflowError.class, () -> harness.submit("a"));
        assertEquals(List.of(planted), harness.failures);
        assertEquals(Optional.empty(), harness.submit("b"));
        assertEquals(List.of("b"), harness.attemptIds);
    }

    /** Guards against an answered request without its body that is attempted again, with an empty one, when refuted. */
    @Test
    void aRefutedRequestWhoseBodyWasReleasedFails() throws IOException {
        harness = new DispatcherHarness(folder.resolve("safe"), Map.of("services.0.effect", "repeatable"));
        harness.submit("kept");
        harness.submit("released");
        harness.attempts.get(1).releaseBody(); // takes effect with the end of the attempt
        harness.end(0, DispatcherHarness.DELIVERED);
        harness.end(1, DispatcherHarness.DELIVERED);
        harness.attempts.get(0).refuted();
        harness.attempts.get(1).refuted();
        assertEquals(List.of("kept", "released", "kept"), harness.attemptIds);
        assertEquals(List.of("kept DELIVERED", "released DELIVERED", "released FAILED"), harness.completed);
    }

    /** Guards against a heap that fills with the bodies of accepted messages, where the disk has room for more of them. */
    @Test
    void theBodiesOfAcceptedMessagesAreBounded() {
        harness.dispatcher.limitHeldBytes(100);
        assertEquals(Optional.empty(), harness.submitWithBody("a", 60));
        assertEquals(Optional.empty(), harness.submitWithBody("b", 40));
        FinalOutcome rejection = harness.submitWithBody("c", 1).orElseThrow();
        assertTrue(rejection.isRejection() && rejection.retryAfterNs() > 0);
        assertEquals(Optional.empty(), harness.submitWithBody("d", 0));
        harness.end(0, DispatcherHarness.DELIVERED);
        assertEquals(Optional.empty(), harness.submitWithBody("c", 60));
    }

    /** A request has one final outcome, and a message with the same id is not accepted twice. */
    @Test
    void eachRequestCompletesOnce() {
        assertEquals(Optional.empty(), harness.submit("a"));
        assertEquals(Optional.empty(), harness.submit("a"));
        assertEquals(1, harness.attempts.size());
        harness.end(0, AttemptOutcome.unanswered(Progress.WRITTEN, Status.BROKEN));
        assertEquals(List.of("a FAILED"), harness.completed);
        assertEquals(Optional.of(FinalOutcome.FAILED), harness.submit("a"));
        assertEquals(Optional.empty(), harness.submit("b"));
        harness.end(1, DispatcherHarness.DELIVERED);
        assertEquals(List.of("a FAILED", "b DELIVERED"), harness.completed);
        assertEquals(Optional.of(FinalOutcome.DELIVERED), harness.submit("b"));
        assertEquals(0, harness.dispatcher.requestsInFlight() + harness.dispatcher.attemptsInFlight());
    }

    /**
     * An attempt that the journal cannot record is not sent and must not count as a failure of the endpoint. Guards
     * against counting it as a failed connection, which trips the breaker of a healthy endpoint when the disk is full.
     */
    @Test
    void anAttemptThatTheJournalCouldNotRecordIsNoEndpointFailure() throws IOException {
        FailingStore store = new FailingStore();
        Journal journal = new Journal(store, 1_000_000, harness.clock);
        harness.dispatcher = harness.newDispatcher(journal);
        store.writesLeft = 1_000;
        DispatcherHarness.listEndpoint(harness.dispatcher, ListUpdateKind.COMPLETE);
        for (String id : List.of("a", "b", "c", "d", "e")) {
            store.writesLeft = journal.deferredRecordCount() + 1; // suffices for the acceptance, not for the attempt
            assertEquals(Optional.empty(), harness.submit(id));
            harness.runDueTasks();
        }
        assertEquals(0, harness.attempts.size(), "nothing unrecorded was sent");
        int[] failed = {-1};
        harness.dispatcher.forEachBreaker((destination, breaker) -> failed[0] = breaker.failures());
        assertEquals(0, failed[0], "the endpoint was never contacted");
    }

    /** A request whose attempt the journal could not record is not completed; it is attempted once the journal can. */
    @Test
    void anAttemptThatTheJournalCouldNotRecordIsMadeLater() throws IOException {
        FailingStore store = new FailingStore();
        store.writesLeft = 1_000;
        harness.dispatcher = harness.newDispatcher(new Journal(store, 1_000_000, harness.clock));
        DispatcherHarness.listEndpoint(harness.dispatcher, ListUpdateKind.COMPLETE);
        store.writesLeft = 1;
        assertEquals(Optional.empty(), harness.submit("a"));
        harness.runDueTasks();
        assertEquals(0, harness.attempts.size(), "nothing unrecorded was sent");
        assertEquals(List.of(), harness.completed, "the request is not completed");
        store.writesLeft = 1_000;
        harness.advance(1_000 * Clock.MILLISECOND_NS);
        harness.endLast(DispatcherHarness.DELIVERED);
        assertEquals(List.of("a DELIVERED"), harness.completed);
    }

    /** An in-memory store that fails after {@code writesLeft} more writes. */
    private static final class FailingStore implements JournalStore {
        private final InMemoryJournalStore memory = new InMemoryJournalStore();
        private int writesLeft;

        @Override
        public JournalStore sibling(String name) {
            return new InMemoryJournalStore();
        }

        @Override
        public long length() {
            return memory.length();
        }

        @Override
        public int read(ByteBuffer target, long offset) {
            return memory.read(target, offset);
        }

        @Override
        public void write(byte[] bytes, long offset) throws IOException {
            boolean full = writesLeft <= 0;
            writesLeft--;
            if (full) {
                throw new IOException("no space left on device");
            }
            memory.write(bytes, offset);
        }

        @Override
        public void truncate(long length) {
            memory.truncate(length);
        }

        @Override
        public JournalStore createReplacement() {
            return memory.createReplacement();
        }

        @Override
        public void replaceWith(JournalStore replacement) {
            memory.replaceWith(replacement);
        }

        @Override
        public void discard() {
            memory.discard();
        }

        @Override
        public void close() {}
    }

    /** A message is recorded before its acceptance (202): if the journal is full, it is rejected and never sent. */
    @Test
    void aFullJournalRejectsOnSubmission() throws IOException {
        Path small = Files.createDirectory(folder.resolve("small"));
        harness.dispatcher = harness.newDispatcher(new Journal(small, 1_000, harness.clock));
        DispatcherHarness.listEndpoint(harness.dispatcher, ListUpdateKind.COMPLETE);
        FinalOutcome outcome = harness.submit("a").orElseThrow();
        assertEquals(FinalOutcome.Kind.REJECTED, outcome.kind());
        assertTrue(outcome.retryAfterNs() > 0, "the rejection has a Retry-After");
        assertEquals(0, harness.attempts.size());
        assertEquals(0, harness.dispatcher.requestsInFlight());
    }

    /**
     * A message with effect once may have run if its attempt timed out, broke or was cancelled after the last byte was
     * written: the request fails and is never sent again.
     */
    @Test
    void aWrittenAttemptWithoutAResponseMayHaveRun() {
        List<Status> statuses = List.of(Status.TIMED_OUT, Status.BROKEN, Status.ABANDONED);
        for (Status status : statuses) {
            harness.submit(status.name());
            harness.endLast(AttemptOutcome.unanswered(Progress.WRITTEN, status));
        }
        assertEquals(statuses.size(), harness.attempts.size(), "no message was sent again");
        assertEquals(statuses.stream().map(status -> status + " FAILED").toList(), harness.completed);
    }

    /**
     * An attempt in flight when the process ended may have run: the next process fails a request with effect once
     * instead of sending it again.
     */
    @Test
    void aRestartSendsNoMessageWithEffectOnceThatMayHaveRun() throws IOException {
        harness.submit("a");
        assertEquals(1, harness.attempts.size());
        RequestDispatcher next = harness.newDispatcher();
        DispatcherHarness.listEndpoint(next, ListUpdateKind.COMPLETE);
        next.recover(() -> 0, () -> {});
        harness.runDueTasks();
        assertEquals(1, harness.attempts.size(), "not sent again");
        assertEquals(List.of("a FAILED"), harness.completed);
    }

    /** A Retry-After also stops attempts decided before it, which may have waited seconds for a connection. */
    @Test
    void aRetryAfterStopsAttemptsThatWereDecidedBeforeIt() {
        harness.submit("a");
        harness.submit("b");
        assertTrue(harness.attempts.get(1).maySend());
        harness.end(0, OVERLOADED);
        assertFalse(harness.attempts.get(1).maySend());
        harness.end(1, AttemptOutcome.unanswered(Progress.NOT_CONNECTED, Status.NOT_STARTED));
        assertEquals(
                2, harness.dispatcher.requestsInFlight(), "the second attempt is deferred, its request not completed");
        assertEquals(List.of(), harness.completed);
        assertEquals(2, harness.attempts.size(), "no attempt is sent during the Retry-After");
    }

    /**
     * A late response to an attempt that has ended still reports its Retry-After; a late delivery completes the
     * request, once.
     */
    @Test
    void aLateResponseReportsItsRetryAfterAndItsDelivery() {
        harness.submit("a");
        harness.end(0, AttemptOutcome.unanswered(Progress.NOT_CONNECTED, Status.BROKEN)); // a retry follows
        harness.attempts.get(0).answeredLate(OVERLOADED);
        harness.runDueTasks();
        harness.submit("b");
        assertEquals(1, harness.attempts.size(), "the destination sent a Retry-After");
        harness.attempts.get(0).answeredLate(DispatcherHarness.DELIVERED);
        harness.attempts.get(0).answeredLate(DispatcherHarness.DELIVERED);
        assertEquals(List.of("a DELIVERED"), harness.completed);
        assertEquals(1, harness.dispatcher.requestsInFlight());
    }

    /** During a stall messages are accepted, but no decision is made until all input that arrived has been read. */
    @Test
    void noDecisionIsMadeDuringAStall() {
        harness.stalled = true;
        assertEquals(Optional.empty(), harness.submit("a"));
        assertEquals(List.of(), harness.attempts);
        harness.stalled = false;
        harness.runDueTasks();
        assertEquals(1, harness.attempts.size());
    }

    /** An operator's drain is stored on disk and overrides the endpoint list. */
    @Test
    void aDrainOutlastsListUpdatesAndRestarts() throws IOException {
        assertEquals(DrainResult.UNKNOWN_ENDPOINT, harness.dispatcher.setDrained("never", true));
        assertEquals(DrainResult.APPLIED, harness.dispatcher.setDrained("h", true));
        DispatcherHarness.listEndpoint(harness.dispatcher, ListUpdateKind.COMPLETE);
        assertEquals(Optional.empty(), harness.submit("a"));
        assertEquals(0, harness.attempts.size());
        RequestDispatcher next = harness.newDispatcher();
        DispatcherHarness.listEndpoint(next, ListUpdateKind.CACHED);
        next.recover(() -> 0, () -> {});
        assertEquals(0, harness.attempts.size());
        assertTrue(next.metricLines(List.of("c")).contains("edge_relay.hosts_down=1"));
        assertEquals(DrainResult.APPLIED, next.setDrained("h", false));
        assertEquals(DrainResult.APPLIED, next.setDrained("h", false));
        harness.runDueTasks();
        assertTrue(next.metricLines(List.of("c")).contains("edge_relay.hosts_down=0"));
        RequestDispatcher last = harness.newDispatcher();
        DispatcherHarness.listEndpoint(last, ListUpdateKind.CACHED);
        assertTrue(last.metricLines(List.of("c")).contains("edge_relay.hosts_down=0"));
    }

    /** During recovery, all responses that are read in one pass are handled in one turn. */
    @Test
    void responsesOfOnePassShareATurnDuringRecovery() {
        harness.dispatcher.recover(() -> 1, () -> {}); // an unsent notification keeps the recovery in progress
        for (int i = 0; i < 6; i++) {
            harness.submit("m" + i);
        }
        harness.dueTasks.clear();
        harness.attempts.forEach(attempt -> attempt.ended(DispatcherHarness.NO_SLOT));
        assertEquals(1, harness.dueTasks.size());
    }
}
