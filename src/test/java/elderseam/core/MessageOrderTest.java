package elderseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.policy.ListUpdateKind;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Places in ordering keys, where the policy alone can't know them: notifications, recovery, handover, duplicates. */
class MessageOrderTest {
    private static final long MS = Clock.MILLISECOND_NS;
    private static final long REST_NS = 150 * MS;
    private static final long LONG_NS = 8_000 * MS;
    private static final Map<String, String> ORDERED =
            Map.of("services.0.fifoByKey", "true", "safety.keyQuietNs", Long.toString(REST_NS));
    private static final AttemptOutcome RESET = AttemptOutcome.unanswered(Progress.WRITTEN, Status.BROKEN);

    @TempDir
    Path folder;

    private DispatcherHarness harness;

    @BeforeEach
    void start() throws IOException {
        harness = new DispatcherHarness(folder, ORDERED);
    }

    private void submit(String id, String key) {
        assertEquals(Optional.empty(), harness.submitOrdered(id, key, LONG_NS));
    }

    /** The next process on the folder, recovered; the clocks move on for the time of a restart. */
    private void restart() throws IOException {
        harness.advance(2 * REST_NS);
        harness.timers.clear();
        harness.attemptIds.clear();
        harness.attempts.clear();
        harness.dispatcher = harness.newDispatcher();
        DispatcherHarness.listEndpoint(harness.dispatcher, ListUpdateKind.COMPLETE);
        harness.dispatcher.recover(() -> 0, () -> {});
        harness.runDueTasks();
    }

    /** Lets the key rest after a start, and whatever else takes that long. */
    private void rest() {
        harness.advance(REST_NS);
        harness.advance(5 * MS);
    }

    @Test
    void messagesOfAKeyGoOneAtATimeAndOthersAreNotHeld() {
        submit("a1", "a");
        submit("a2", "a");
        submit("b1", "b");
        submit("none", "");
        assertEquals(List.of("a1", "b1", "none"), harness.attemptIds);
        harness.end(0, DispatcherHarness.DELIVERED);
        assertEquals(List.of("a1", "b1", "none", "a2"), harness.attemptIds);
    }

    @Test
    void theNextWaitsUntilTheNotificationIsAcknowledged() {
        submit("a1", "a");
        submit("a2", "a");
        harness.endLast(RESET);
        assertEquals(List.of("a1 FAILED"), harness.completed);
        rest();
        assertEquals(List.of("a1"), harness.attemptIds);
        harness.dispatcher.markNotified("a1");
        harness.runDueTasks();
        assertEquals(List.of("a1", "a2"), harness.attemptIds);
    }

    @Test
    void aKeyRestsAfterAnAttemptOfUnknownEnd() {
        submit("a1", "a");
        submit("a2", "a");
        harness.endLast(RESET);
        harness.dispatcher.markNotified("a1");
        harness.runDueTasks();
        assertEquals(List.of("a1"), harness.attemptIds);
        rest();
        assertEquals(List.of("a1", "a2"), harness.attemptIds);
    }

    @Test
    void aNotificationThatARestartFindsOwedHoldsItsKeyAndNoOther() throws IOException {
        submit("a1", "a");
        submit("a2", "a");
        submit("b1", "b");
        harness.end(0, RESET);
        restart();
        rest();
        assertEquals(List.of(), harness.attemptIds.stream().filter("a2"::equals).toList());
        submit("c1", "c");
        assertTrue(harness.attemptIds.contains("c1"));
        harness.dispatcher.markNotified("a1");
        harness.runDueTasks();
        assertTrue(harness.attemptIds.contains("a2"));
    }

    /** Recovery resubmits by deadline; the order is that of handing in, also for what comes during the recovery. */
    @Test
    void aRestartKeepsTheOrderOfHandingInWhateverTheDeadlines() throws IOException {
        harness.dispatcher.updateEndpoints(
                ListUpdateKind.COMPLETE, List.of(DispatcherHarness.endpoint(elderseam.policy.EndpointStatus.DRAINING)));
        List<String> handedIn = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            handedIn.add("a" + i);
            assertEquals(Optional.empty(), harness.submitOrdered("a" + i, "a", LONG_NS - i * 100L * MS));
        }
        restart();
        handedIn.add("late");
        submit("late", "a");
        rest();
        for (int i = 0; i < handedIn.size(); i++) {
            assertEquals(handedIn.subList(0, i + 1), harness.attemptIds);
            harness.endLast(DispatcherHarness.DELIVERED);
        }
    }

    @Test
    void everyKeyRestsAfterAStartOnWhatAProcessLeft() throws IOException {
        submit("a1", "a");
        restart();
        submit("b1", "b");
        submit("none", "");
        assertEquals(List.of("none"), harness.attemptIds);
        rest();
        assertEquals(List.of("none", "b1"), harness.attemptIds);
    }

    @Test
    void aCompactedJournalKeepsKeysAndOrder() throws IOException {
        submit("a1", "a");
        submit("a2", "a");
        Journal journal = harness.newJournal();
        journal.suspend();
        journal.resume(); // rewrites the file
        journal.close();
        Journal compacted = harness.newJournal();
        assertEquals("{a1=a, a2=a}", compacted.unsettledOrderKeys().toString());
        assertEquals(
                "a", compacted.unfinished(java.util.Set.of()).get(1).message.orderKey());
    }

    /** The older process's attempt is in flight while the newer one gets the next message of its key. */
    @Test
    void anAdoptedAttemptHoldsItsKeyUntilItsOutcomeComes() throws IOException {
        submit("a1", "a");
        submit("a2", "a");
        List<Handover.ForwardedOutcome> forwarded = new ArrayList<>();
        Handover.State state = harness.dispatcher.handover().transferTo(forwarded::add);
        AttemptListener older = harness.attempts.get(0);
        harness.attemptIds.clear();
        harness.dispatcher = harness.newDispatcher();
        harness.dispatcher.handover().takeOver(state, attempt -> {});
        DispatcherHarness.listEndpoint(harness.dispatcher, ListUpdateKind.COMPLETE);
        harness.dispatcher.recover(() -> 0, () -> {});
        submit("a3", "a");
        rest();
        assertEquals(List.of(), harness.attemptIds);
        older.ended(DispatcherHarness.DELIVERED);
        harness.dispatcher.handover().outcomeForwarded(forwarded.get(0));
        harness.runDueTasks();
        rest();
        assertEquals(List.of("a2"), harness.attemptIds);
        harness.endLast(DispatcherHarness.DELIVERED);
        assertEquals(List.of("a2", "a3"), harness.attemptIds);
    }

    /** A message that waits for another's outcome holds its place; its own key goes on once it has that outcome. */
    @Test
    void aDuplicateHoldsItsPlace() {
        long deadline = harness.clock.now() + LONG_NS;
        ActiveRequest.Message first = new ActiveRequest.Message(
                "b1", (byte) 0, 0, -1, 1, deadline, deadline, false, false, "", new byte[0], "s:k", "b");
        harness.dispatcher.submit(first);
        ActiveRequest.Message duplicate = new ActiveRequest.Message(
                "a1", (byte) 0, 0, -1, 1, deadline, deadline, false, false, "", new byte[0], "s:k", "a");
        assertEquals(Optional.empty(), harness.dispatcher.submit(duplicate));
        submit("a2", "a");
        assertEquals(List.of("b1"), harness.attemptIds);
        harness.end(0, DispatcherHarness.DELIVERED);
        assertEquals(List.of("b1", "a2"), harness.attemptIds);
    }

    /** A key that keeps its place in a class without order holds nothing. */
    @Test
    void classesWithoutOrderIgnoreKeys() throws IOException {
        harness = new DispatcherHarness(folder.resolve("unordered"));
        submit("a1", "a");
        submit("a2", "a");
        assertEquals(List.of("a1", "a2"), harness.attemptIds);
        assertEquals("{}", harness.newJournal().unsettledOrderKeys().toString());
    }
}
