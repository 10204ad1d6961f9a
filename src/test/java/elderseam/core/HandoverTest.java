package elderseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import elderseam.policy.ListUpdateKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Handover between two dispatchers on one journal: the second takes over from the first. */
class HandoverTest {
    @TempDir
    Path folder;

    private final List<Handover.ForwardedOutcome> forwarded = new ArrayList<>();
    private DispatcherHarness harness;

    @BeforeEach
    void start() throws IOException {
        harness = new DispatcherHarness(folder);
    }

    /** Hands over to a new dispatcher, and returns it. */
    private RequestDispatcher takeOver() throws IOException {
        Handover.State state = harness.dispatcher.handover().transferTo(forwarded::add);
        RequestDispatcher successor = harness.newDispatcher();
        successor.handover().takeOver(state, attempt -> {});
        DispatcherHarness.listEndpoint(successor, ListUpdateKind.CACHED);
        successor.recover(() -> 0, () -> {});
        return successor;
    }

    /**
     * After a handover with attempts in flight, the successor completes each request once, by the outcomes that the
     * predecessor forwards.
     */
    @Test
    void attemptsInFlightAreHandedOver() throws IOException {
        harness.submit("a");
        harness.submit("b");
        Handover.State state = harness.dispatcher.handover().transferTo(forwarded::add);
        assertEquals(2, state.inFlight().size());
        assertFalse(
                harness.attempts.get(0).maySend(),
                "an attempt that has not been sent must not be sent after the transfer");
        assertEquals(
                FinalOutcome.Kind.REJECTED, harness.submit("c").orElseThrow().kind());
        RequestDispatcher successor = harness.newDispatcher();
        List<String> cancelled = new ArrayList<>();
        successor.handover().takeOver(state, attempt -> cancelled.add(attempt.requestId()));
        DispatcherHarness.listEndpoint(successor, ListUpdateKind.CACHED);
        successor.recover(() -> 0, () -> {});
        assertEquals(List.of(2, 2), List.of(successor.requestsInFlight(), successor.attemptsInFlight()));
        assertEquals(2, harness.attempts.size(), "no attempt is sent again");
        harness.end(0, DispatcherHarness.DELIVERED);
        assertEquals(List.of(), harness.completed, "the predecessor completes no requests any more");
        successor.handover().outcomeForwarded(forwarded.get(0));
        successor.handover().outcomeForwarded(forwarded.get(0));
        assertEquals(List.of("a DELIVERED"), harness.completed);
        successor.handover().predecessorExited();
        successor.handover().predecessorExited();
        assertEquals(
                List.of("a DELIVERED", "b FAILED"),
                harness.completed,
                "the effect is once, and the attempt may have run");
        assertEquals(0, successor.requestsInFlight() + successor.attemptsInFlight());
        harness.end(1, DispatcherHarness.DELIVERED);
        successor.handover().outcomeForwarded(forwarded.get(1));
        assertEquals(2, harness.completed.size());
        assertEquals(List.of(), cancelled);
    }

    // Guards against issue 56: a wait that the predecessor reads after the transfer is lost to the successor.
    @Test
    void aWaitThatThePredecessorReadsBindsTheSuccessor() throws IOException {
        harness.submit("a");
        RequestDispatcher successor = takeOver();
        harness.dispatcher.endpointResponses().retryAfterReceived("h", 5_000 * Clock.MILLISECOND_NS, false);
        successor.handover().outcomeForwarded(forwarded.get(0));
        harness.dispatcher = successor;
        harness.submit("b");
        assertEquals(1, harness.attempts.size(), "no attempt during the wait");
    }

    // Guards against issue 56: as above, in the outcome of an attempt that the successor has given up meanwhile.
    @Test
    void aWaitInAnOutcomeThatComesTooLateBindsTheSuccessor() throws IOException {
        harness.submit("a");
        RequestDispatcher successor = takeOver();
        successor.handover().predecessorExited();
        long waitNs = 5_000 * Clock.MILLISECOND_NS;
        harness.end(
                0,
                new AttemptOutcome(AttemptOutcome.Progress.ANSWERED, AttemptOutcome.Status.OVERLOADED, waitNs, 0, 0));
        successor.handover().outcomeForwarded(forwarded.get(0));
        harness.dispatcher = successor;
        harness.submit("b");
        assertEquals(1, harness.attempts.size(), "no attempt during the wait");
    }

    /** After a rollback, the predecessor applies the forwarded outcomes, and records them in the journal. */
    @Test
    void aRollbackAppliesTheForwardedOutcomes() throws IOException {
        harness.submit("a");
        harness.dispatcher.handover().transferTo(forwarded::add);
        harness.end(0, DispatcherHarness.DELIVERED);
        Files.write(folder.resolve("journal"), new byte[7]); // written by the successor before it failed
        harness.dispatcher.handover().rollBack(forwarded);
        assertEquals(List.of("a DELIVERED"), harness.completed);
        assertEquals(Optional.empty(), harness.submit("b"));
        assertEquals(2, harness.attempts.size());
        harness.end(1, DispatcherHarness.DELIVERED);
        RequestDispatcher next = harness.newDispatcher();
        next.recover(() -> 0, () -> {});
        assertEquals(0, next.requestsInFlight());
        assertEquals(List.of("a DELIVERED", "b DELIVERED"), harness.completed);
    }
}
