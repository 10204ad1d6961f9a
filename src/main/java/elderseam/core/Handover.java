package elderseam.core;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Transfers a dispatcher's requests from one process, the predecessor, to the next, its successor. The predecessor
 * keeps the sockets of its attempts in flight and forwards their outcomes to the successor. Confined to the event-loop
 * thread.
 */
public final class Handover {
    /** An attempt in flight in the predecessor, which began it {@code ageNs} nanoseconds ago. */
    public record InFlightAttempt(String requestId, int attempt, String endpoint, long ageNs) {}

    /**
     * The outcome of an attempt, forwarded by the predecessor.
     *
     * @param late whether the response arrived after the predecessor had cancelled the attempt
     */
    public record ForwardedOutcome(
            String requestId, int attempt, String endpoint, boolean late, AttemptOutcome outcome) {}

    /** The state that the successor needs besides the journal: the policy's state and the attempts in flight. */
    public record State(byte[] policySnapshot, List<InFlightAttempt> inFlight) {}

    /** The request id and attempt of a forwarded wait that belongs to no attempt. */
    private static final String NO_REQUEST = "";

    private static final int NO_ATTEMPT = -1;

    private final RequestDispatcher dispatcher;
    private final AttemptTracker attempts;
    private final PolicyFacade policy;
    private final Journal journal;
    private final Clock clock;
    private final EventLoop loop;

    /** Ids of the requests that have an attempt in flight in the predecessor. */
    private final Set<String> adopted = new HashSet<>();

    /** Receives the outcomes of this process's attempts once a successor has taken over; null before. */
    private Consumer<ForwardedOutcome> successor;

    Handover(
            RequestDispatcher dispatcher,
            AttemptTracker attempts,
            PolicyFacade policy,
            Journal journal,
            Clock clock,
            EventLoop loop) {
        this.dispatcher = dispatcher;
        this.attempts = attempts;
        this.policy = policy;
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
    }

    // ---------------------------------------------------------------- in the predecessor

    /**
     * Transfers all requests to a successor: from now on this process makes no decisions, begins no attempts, writes
     * nothing to the journal and forwards the outcomes of its attempts in flight to {@code successor}. Undone by
     * {@link #rollBack}.
     */
    public State transferTo(Consumer<ForwardedOutcome> successor) {
        PolicySnapshotCodec.Writer snapshot = new PolicySnapshotCodec.Writer(clock);
        policy.transferState(clock.now(), snapshot);
        List<InFlightAttempt> inFlight = new ArrayList<>();
        for (ActiveRequest request : dispatcher.requests().all()) {
            if (request.inFlightCall != null) {
                AttemptTracker.ActiveAttempt attempt = request.lastAttempt;
                long age = clock.now() - attempt.start;
                inFlight.add(new InFlightAttempt(request.id(), attempt.number, attempt.endpoint, age));
            }
        }
        this.successor = successor;
        journal.suspend();
        return new State(snapshot.bytes(), inFlight);
    }

    /** Whether this process has transferred its requests to a successor. */
    boolean isTransferred() {
        return successor != null;
    }

    /** Forwards an outcome to the successor; false if there is none, so that this process must handle the outcome. */
    boolean forward(ActiveRequest request, AttemptTracker.ActiveAttempt attempt, boolean late, AttemptOutcome outcome) {
        if (successor == null) {
            return false;
        }
        successor.accept(new ForwardedOutcome(request.id(), attempt.number, attempt.endpoint, late, outcome));
        return true;
    }

    /** Forwards a wait that an endpoint asked for, like a late outcome; false if there is no successor. */
    boolean forwardRetryAfter(String endpoint, long waitNs) {
        if (successor == null) {
            return false;
        }
        AttemptOutcome outcome = new AttemptOutcome(Progress.ANSWERED, Status.OVERLOADED, waitNs, 0, 0);
        successor.accept(new ForwardedOutcome(NO_REQUEST, NO_ATTEMPT, endpoint, true, outcome));
        return true;
    }

    /**
     * Rolls the transfer back because the successor failed before it took over.
     *
     * @param forwarded the outcomes that had been forwarded to the successor
     */
    public void rollBack(List<ForwardedOutcome> forwarded) {
        successor = null;
        journal.resume();
        for (ForwardedOutcome ended : forwarded) {
            ActiveRequest request = dispatcher.request(ended.requestId());
            if (ended.late()) {
                policy.answeredLate(clock.now(), ended.endpoint(), ended.outcome());
            } else if (isLastAttempt(request, ended)) {
                request.lastAttempt.ended(ended.outcome());
            } else {
                applyRetryAfter(ended);
            }
        }
        dispatcher.resume();
    }

    /** Cancels an attempt at the request of the successor. */
    public void cancelAttempt(String requestId, int attempt) {
        dispatcher.cancelAttempt(requestId, attempt);
    }

    // ---------------------------------------------------------------- in the successor

    /** Ids of the requests that were adopted with an attempt in flight in the predecessor. */
    Set<String> adopted() {
        return adopted;
    }

    /**
     * Takes over the predecessor's policy state and its attempts in flight. Must be called before
     * {@link RequestDispatcher#recover}.
     *
     * @param cancel asks the predecessor to cancel an attempt
     */
    public void takeOver(State state, Consumer<InFlightAttempt> cancel) {
        policy.transferState(clock.now(), new PolicySnapshotCodec.Reader(state.policySnapshot(), clock, false));
        dispatcher.restoreOrder();
        Map<String, InFlightAttempt> inFlight = new HashMap<>();
        state.inFlight().forEach(attempt -> inFlight.put(attempt.requestId(), attempt));
        for (ActiveRequest request : journal.unfinishedAmong(inFlight.keySet())) {
            InFlightAttempt attempt = inFlight.get(request.id());
            if (request.attempts - 1 == attempt.attempt()) {
                adopt(request, attempt, cancel);
            }
        }
    }

    private void adopt(ActiveRequest request, InFlightAttempt inFlight, Consumer<InFlightAttempt> cancel) {
        adopted.add(request.id());
        dispatcher.restore(request);
        policy.submit(clock.now(), request);
        long start = clock.now() - inFlight.ageNs();
        policy.adopt(clock.now(), request, inFlight.endpoint(), start);
        AttemptTracker.ActiveAttempt attempt = attempts.track(request, inFlight.attempt(), inFlight.endpoint(), start);
        request.inFlightCall = () -> cancel.accept(inFlight);
        // the client must be notified in time even if the predecessor stops responding
        long abandonAt = request.message.deadline() - ActiveRequest.NOTIFICATION_RESERVE_NS / 2;
        loop.at(Math.max(clock.now(), abandonAt), () -> {
            if (abandon(request, attempt)) {
                cancel.accept(inFlight); // otherwise it could overlap with the next attempt of its ordering key
            }
        });
    }

    /** Handles an outcome that the predecessor has forwarded. */
    public void outcomeForwarded(ForwardedOutcome forwarded) {
        ActiveRequest request = dispatcher.request(forwarded.requestId());
        boolean last = isLastAttempt(request, forwarded);
        if (forwarded.late()) {
            if (last) {
                request.lastAttempt.answeredLate(forwarded.outcome());
            } else {
                policy.answeredLate(clock.now(), forwarded.endpoint(), forwarded.outcome());
                dispatcher.attemptEnded();
            }
        } else if (last && request.inFlightCall != null && adopted.remove(forwarded.requestId())) {
            request.lastAttempt.ended(forwarded.outcome());
        } else {
            applyRetryAfter(forwarded);
        }
    }

    /** The outcome comes too late for its request, but what its endpoint asked for holds. */
    private void applyRetryAfter(ForwardedOutcome forwarded) {
        policy.retryAfterReceived(
                clock.now(), forwarded.endpoint(), forwarded.outcome().retryAfterNs());
    }

    /** The predecessor has exited: its attempts without a forwarded outcome may have run. */
    public void predecessorExited() {
        for (String id : List.copyOf(adopted)) {
            ActiveRequest request = dispatcher.request(id);
            if (request != null) {
                abandon(request, request.lastAttempt);
            }
        }
        adopted.clear();
    }

    /**
     * Ends an adopted attempt with an unknown outcome. That does not count as a failure of the endpoint, which is not
     * at fault.
     *
     * @return whether the attempt was still in flight
     */
    private boolean abandon(ActiveRequest request, AttemptTracker.ActiveAttempt attempt) {
        boolean current = request.inFlightCall != null && request.lastAttempt == attempt;
        boolean abandoned = current && adopted.remove(request.id());
        if (abandoned) {
            attempt.ended(AttemptOutcome.unanswered(Progress.WRITTEN, Status.ABANDONED));
        }
        return abandoned;
    }

    private static boolean isLastAttempt(ActiveRequest request, ForwardedOutcome forwarded) {
        return request != null && request.lastAttempt != null && request.lastAttempt.number == forwarded.attempt();
    }
}
