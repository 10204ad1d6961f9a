package elderseam.core;

import elderseam.policy.AttemptResult;
import elderseam.policy.BreakerView;
import elderseam.policy.CompletedAttempt;
import elderseam.policy.DispatchPolicy;
import elderseam.policy.EndpointCounts;
import elderseam.policy.GiveUpReason;
import elderseam.policy.LimitReport;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.OrderedKeyCounts;
import elderseam.policy.OrderedKeyView;
import elderseam.policy.PolicyActions;
import elderseam.policy.PolicyEvents;
import elderseam.policy.PolicyRequest;
import elderseam.policy.PolicySettings;
import elderseam.policy.SnapshotCursor;
import java.util.ArrayDeque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Adapts the callback interface of the policy to a queue of decisions: the dispatcher reports events, {@link #tick
 * advances} the clock and {@link #poll polls} for decisions. The parameter {@code time} of each method is the time of
 * the call; a time that lies before that of an earlier call is replaced by the latter. Confined to the event-loop
 * thread.
 */
final class PolicyFacade {
    private record Timer(long due, long token) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return Long.compare(due, other.due);
        }
    }

    private final PolicySettings settings;
    private final DispatchPolicy policy;
    private final BreakerListener breakers;
    private final ArrayDeque<PolicyDecision> decisions = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long now;
    private ZoneNames zones = new ZoneNames(List.of());
    private boolean eventsPending;

    /** {@code seed}: seeds the policy's random choices; {@code breakers}: notified of breaker changes. */
    PolicyFacade(PolicySettings settings, long seed, BreakerListener breakers) {
        this.breakers = breakers;
        this.settings = settings;
        this.policy = new DispatchPolicy(settings, seed, new DecisionRecorder());
    }

    PolicySettings settings() {
        return settings;
    }

    private void advanceTo(long time) {
        now = Math.max(now, time);
    }

    /** Advances the clock for an event, so that the next {@link #poll} runs a turn of the policy. */
    private void advanceForEvent(long time) {
        advanceTo(time);
        eventsPending = true;
    }

    // ---------------------------------------------------------------- requests

    /** Submits a request that was accepted by this process or by an earlier one. */
    void submit(long time, ActiveRequest request) {
        advanceForEvent(time);
        PolicyRequest policyRequest = policyRequestOf(request);
        if (request.attempts == 0) {
            policy.request(now, policyRequest);
        } else {
            policy.restored(
                    now,
                    policyRequest,
                    request.attempts,
                    request.mayHaveRun,
                    request.deduplicatedUntil,
                    zones.numberOf(request.mayHaveRunZone));
        }
    }

    /** Sets the names of the zones, in the order of the settings. */
    void setZones(ZoneNames names) {
        zones = names;
    }

    /** The name of a listed endpoint's zone; empty if it is not known. */
    String zoneOf(String endpoint) {
        return zones.nameOf(policy.zoneOf(endpoint));
    }

    private static PolicyRequest policyRequestOf(ActiveRequest request) {
        ActiveRequest.Message message = request.message;
        return new PolicyRequest(
                message.id(),
                message.classIndex(),
                message.tenantIndex(),
                OrderKeyHash.of(message.orderKey()),
                message.deadline(),
                message.destination(),
                message.resubmitted());
    }

    /** Reserves the last place in an ordering key for an accepted message that is not submitted to the policy. */
    void reserve(long time, String requestId, String orderKey) {
        advanceTo(time);
        policy.reserved(now, OrderKeyHash.of(orderKey), requestId);
    }

    /** The client of the message needs no notification any more: the next of its ordering key may be attempted. */
    void settle(long time, String requestId) {
        advanceForEvent(time);
        policy.settled(now, requestId);
    }

    /**
     * Starts the rest period of every ordering key, in which no message of the key is attempted, because attempts of an
     * earlier process may have ended only just now. Must be called before any request is submitted.
     */
    void startKeyRestPeriods(long time) {
        advanceTo(time);
        policy.restOrderingKeys(now);
    }

    /** The state of the ordering key of an unsettled message, which still blocks the next message of that key. */
    OrderedKeyView orderedKey(long time, String requestId) {
        advanceTo(time);
        return policy.orderedKey(now, requestId);
    }

    /** Counts of the ordering keys by state and of their unsettled requests. */
    OrderedKeyCounts orderedKeys(long time) {
        advanceTo(time);
        return policy.orderedKeys(now);
    }

    /** The last attempt of a submitted request is in flight in the predecessor, which began it at {@code start}. */
    void adopt(long time, ActiveRequest request, String endpoint, long start) {
        advanceForEvent(time);
        policy.adopted(now, request.id(), endpoint, start);
    }

    /** Whether the destination has, or recently had, an endpoint, so that a message for it can be accepted. */
    boolean serves(long time, long destination) {
        advanceTo(time);
        return policy.serves(now, destination);
    }

    /** Announces that the process ends at the time {@code end}. */
    void shutDownBy(long time, long end) {
        advanceForEvent(time);
        policy.shutdownScheduled(now, end);
    }

    // ---------------------------------------------------------------- attempts

    /** Whether an attempt that was decided earlier may still be sent. */
    boolean maySend(long time, String requestId, String endpoint) {
        advanceTo(time);
        return policy.mayStart(now, requestId, endpoint);
    }

    /** An attempt that began at {@code start} has ended. */
    void attemptEnded(long time, String requestId, int attempt, String endpoint, long start, AttemptOutcome outcome) {
        advanceForEvent(time);
        policy.outcome(
                now,
                new CompletedAttempt(
                        requestId,
                        attempt,
                        endpoint,
                        resultOf(outcome),
                        now - start,
                        outcome.retryAfterNs(),
                        outcome.status() == AttemptOutcome.Status.NO_SLOT,
                        outcome.completesRequest(),
                        reportOf(outcome)));
    }

    private static AttemptResult resultOf(AttemptOutcome outcome) {
        return switch (outcome.status()) {
            case DELIVERED -> AttemptResult.DELIVERED;
            case ERROR -> AttemptResult.ERROR;
            case OVERLOADED -> AttemptResult.FULL;
            case NO_SLOT, EXPIRED, WITHDRAWN, NOT_STARTED -> AttemptResult.NOT_SENT;
            case LOCAL_FAILURE -> AttemptResult.LOCAL_FAILURE;
            case BROKEN -> outcome.mayHaveRun() ? AttemptResult.RESET : AttemptResult.CONNECT_FAILED;
            case TIMED_OUT -> outcome.mayHaveRun() ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED;
            case ABANDONED -> outcome.mayHaveRun() ? AttemptResult.CANCELLED : AttemptResult.CONNECT_FAILED;
        };
    }

    private static LimitReport reportOf(AttemptOutcome outcome) {
        return new LimitReport(outcome.headroom(), outcome.limitPerSecond());
    }

    /**
     * The response to a cancelled attempt has arrived. Only its Retry-After and its rate limit are reported to the
     * policy, because the end of the attempt has been reported before.
     */
    void answeredLate(long time, String endpoint, AttemptOutcome outcome) {
        advanceForEvent(time);
        policy.lateAnswer(now, endpoint, outcome.retryAfterNs(), reportOf(outcome));
    }

    /** An endpoint has asked for a wait, in a response that need not be the answer to an attempt. */
    void retryAfterReceived(long time, String endpoint, long waitNs) {
        advanceForEvent(time);
        policy.retryAfter(now, endpoint, waitNs);
    }

    /** A late response has completed the request: no further attempt may be sent for it. */
    void withdraw(long time, String requestId) {
        advanceForEvent(time);
        policy.withdrawn(now, requestId);
    }

    // ---------------------------------------------------------------- endpoints and destinations

    /** The endpoint list has changed, was read completely, or could not be read; see {@link ListUpdateKind}. */
    void updateEndpoints(long time, ListUpdateKind kind, List<ListedEndpoint> endpoints) {
        advanceForEvent(time);
        policy.endpoints(now, kind, endpoints);
    }

    /** The number of endpoints on the list by state, as the policy currently sees them. */
    EndpointCounts endpointCounts(long time) {
        advanceTo(time);
        return policy.endpointCounts(now);
    }

    /** Visits the circuit breaker of each destination. */
    void forEachBreaker(long time, BiConsumer<Long, BreakerView> visitor) {
        advanceTo(time);
        policy.forEachBreaker(now, visitor);
    }

    /**
     * Defers attempts at an endpoint by {@code pauseNs}, as after a Retry-After, because another dispatcher probes the
     * endpoint for the whole fleet.
     */
    void deferAttempts(long time, String endpoint, long pauseNs) {
        advanceForEvent(time);
        policy.lateAnswer(now, endpoint, pauseNs, LimitReport.NONE);
    }

    /** Applies other dispatchers' health reports on a destination; see {@link PolicyEvents#peerHealthReported}. */
    void applyHealthReports(long time, long destination, double suspicion, double probingDispatchers) {
        advanceTo(time);
        policy.peerHealthReported(now, destination, suspicion, probingDispatchers);
    }

    /** Sets this dispatcher's share of the fleet's work; see {@link PolicyEvents#shareChanged}. */
    void setFleetShare(long time, int dispatchers, Predicate<String> preferred, double retryRatio) {
        advanceForEvent(time);
        policy.shareChanged(now, dispatchers, preferred, retryRatio);
    }

    // ---------------------------------------------------------------- time and state

    /** The event loop stalled for {@code stallNs}: missing responses in that time are not failures of endpoints. */
    void eventLoopStalled(long time, long stallNs) {
        advanceForEvent(time);
        policy.hostStalled(now, stallNs);
    }

    /** Transfers the policy's learned state by a cursor, which either records it or replaces it. */
    void transferState(long time, SnapshotCursor cursor) {
        advanceForEvent(time);
        policy.transfer(now, cursor);
    }

    /** Advances the clock and fires the timers that are due. */
    void tick(long time) {
        advanceTo(time);
        while (!timers.isEmpty() && timers.peek().due <= now) {
            eventsPending = true;
            policy.timer(now, timers.poll().token);
        }
    }

    /** When the next tick is due, or {@link Long#MAX_VALUE}. */
    long nextTick() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().due;
    }

    /** The next decision, or null if none is pending. */
    PolicyDecision poll(long time) {
        advanceTo(time);
        if (decisions.isEmpty() && eventsPending) {
            eventsPending = false;
            policy.turnEnd(now);
        }
        return decisions.poll();
    }

    /** Queues the actions that the policy requests. */
    private final class DecisionRecorder implements PolicyActions {
        @Override
        public void send(String id, String endpoint, long stopAt, boolean sharesCall) {
            decisions.add(new PolicyDecision.BeginAttempt(id, endpoint, stopAt, sharesCall));
        }

        @Override
        public void cancel(String id, int attempt) {
            decisions.add(new PolicyDecision.CancelAttempt(id, attempt));
        }

        @Override
        public void reject(String id, long retryAfterNs, GiveUpReason reason) {
            FinalOutcome outcome = FinalOutcome.rejected(retryAfterNs);
            decisions.add(new PolicyDecision.Complete(id, outcome, OutcomeReason.of(reason)));
        }

        @Override
        public void fail(String id, GiveUpReason reason) {
            decisions.add(new PolicyDecision.Complete(id, FinalOutcome.FAILED, OutcomeReason.of(reason)));
        }

        @Override
        public void timer(long token, long afterNs) {
            timers.add(new Timer(now + afterNs, token));
        }

        @Override
        public void disconnect(String endpoint) {
            decisions.add(new PolicyDecision.CloseIdleConnections(endpoint));
        }

        @Override
        public void subscribe() {
            decisions.add(new PolicyDecision.WatchEndpoints());
        }

        @Override
        public void breakerOpened(String breaker, String cause) {
            breakers.opened(breaker, cause);
        }

        @Override
        public void breakerClosed(String breaker) {
            breakers.closed(breaker);
        }
    }
}
