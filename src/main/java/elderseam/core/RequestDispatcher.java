package elderseam.core;

import elderseam.policy.BreakerView;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.PolicyEvents;
import elderseam.policy.PolicySettings;
import elderseam.policy.RequestClass;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * Accepts requests, executes the policy's decisions, and guarantees exactly one final outcome per request. Confined
 * to the event-loop thread. The only blocking calls are writes to the journal, which are not synced to disk.
 */
public final class RequestDispatcher {
    /** A destination that is never on the endpoint list: no message for it is accepted, regardless of the rules. */
    public static final long NO_DESTINATION = 999_999_999_999_999_999L;

    /** Retry-After of requests that are rejected for lack of capacity. */
    static final long CAPACITY_RETRY_AFTER_NS = 1_000 * Clock.MILLISECOND_NS;

    private final PolicySettings settings;
    private final PolicyFacade policy;
    private final Journal journal;
    private final Clock clock;
    private final EventLoop loop;
    private final Map<Byte, Frontend> frontends = new HashMap<>();
    private final RequestsInFlight requests = new RequestsInFlight();
    private final DuplicateRequests duplicates;
    private final OperatorDrains drains;
    private final Metrics metrics;
    private final RequestLog log;
    private final MessageOrder order;
    private final AttemptTracker attempts;
    private final Handover handover;
    private final EndpointResponses endpointResponses;
    private final PolicySnapshots snapshots;
    private final DecisionExecutor executor;
    private final DecisionLoop decisions;
    private final RequestAdmission admission;
    private boolean recovering;

    /** A dispatcher that logs the changes of its policy's circuit breakers. */
    public RequestDispatcher(PolicySettings settings, long seed, Journal journal, Clock clock, EventLoop loop) {
        this(settings, seed, journal, clock, loop, new BreakerLog());
    }

    /**
     * @param seed seed of the policy's random choices
     * @param breakers notified of state changes of the policy's circuit breakers
     */
    public RequestDispatcher(
            PolicySettings settings,
            long seed,
            Journal journal,
            Clock clock,
            EventLoop loop,
            BreakerListener breakers) {
        this.settings = settings;
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
        this.drains = new OperatorDrains(journal.drainedEndpoints());
        this.metrics = new Metrics(settings.classes().size());
        this.log = new RequestLog(clock);
        this.policy = new PolicyFacade(settings, seed, breakers);
        this.order = new MessageOrder(settings, policy, journal, clock);
        this.duplicates = new DuplicateRequests(journal, clock, loop, frontends, metrics, log, order);
        this.attempts = new AttemptTracker(this, settings, policy, journal, clock, loop, metrics, log);
        this.handover = new Handover(this, attempts, policy, journal, clock, loop);
        this.endpointResponses = new EndpointResponses(handover, policy, clock, metrics);
        this.snapshots = new PolicySnapshots(handover, policy, journal, clock, loop);
        this.executor = new DecisionExecutor(this, attempts);
        this.decisions = new DecisionLoop(executor, policy, clock, loop);
        new JournalRetry(journal, clock, loop).start();
        this.admission = new RequestAdmission(this, settings, policy, journal, duplicates, metrics, log, clock);
    }

    /** Limits the total size of the bodies of accepted messages. */
    public void limitHeldBytes(long maxBytes) {
        requests.limitBodyBytes(maxBytes);
    }

    /** Sets the names of the zones, in the order of the settings; must be called before the recovery. */
    public void setZones(List<String> names) {
        policy.setZones(new ZoneNames(names));
    }

    /** Registers a frontend under its number, and the sender for the requests that it submits. */
    public void registerFrontend(byte number, Frontend frontend, AttemptSender sender) {
        frontends.put(number, frontend);
        attempts.registerSender(number, sender);
    }

    /** Sets the action to run when the policy requests a watch of the endpoint list. */
    public void onWatchRequested(Runnable watchRequested) {
        executor.onWatchRequested(watchRequested);
    }

    /** Applies an update of the endpoint list or the failure to get one. Ignored after a handover. */
    public void updateEndpoints(ListUpdateKind kind, List<ListedEndpoint> endpoints) {
        if (!handover.isTransferred()) {
            policy.updateEndpoints(clock.now(), kind, drains.apply(kind, endpoints));
            decisions.run();
        }
    }

    /**
     * Begins or ends an operator's drain of an endpoint; repeating either has no effect. The change is in the journal before
     * this method returns. While an endpoint is drained, the policy sees it as draining, whatever the endpoint list says.
     */
    public DrainResult setDrained(String endpoint, boolean drained) {
        if (!drains.isKnown(endpoint)) {
            return DrainResult.UNKNOWN_ENDPOINT;
        }
        boolean changed = drains.isDrained(endpoint) != drained;
        boolean exceedsLimit = drained && changed && drains.isFull();
        if (exceedsLimit || !journal.setDrained(endpoint, drained)) {
            return DrainResult.NO_CAPACITY;
        }
        if (changed) {
            policy.updateEndpoints(clock.now(), ListUpdateKind.CHANGES, drains.setDrained(endpoint, drained));
            decisions.run();
        }
        return DrainResult.APPLIED;
    }

    /** The metrics, one {@code NAME=NUMBER} line for each; {@code classNames} in the order of the settings. */
    public List<String> metricLines(List<String> classNames) {
        List<String> lines = new ArrayList<>();
        metrics.appendLines(classNames, lines);
        lines.add("edge_relay.inflight=" + requestsInFlight());
        if (journal.deferredRecordCount() > 0) {
            lines.add("edge_relay.journal_owed=" + journal.deferredRecordCount());
        }
        Metrics.appendEndpoints(policy.endpointCounts(clock.now()), lines);
        order.appendMetrics("edge_relay.", lines);
        return lines;
    }

    /**
     * Restores the unfinished requests from the journal, in the portions of {@link RecoverySchedule}, with a pass over
     * the sockets between two portions. Before that, passes to the frontends the final outcomes of which an earlier
     * process had not yet notified the clients.
     *
     * @param unsentNotifications returns the number of notifications that the frontends have yet to send
     * @param onReady run once, when the process may report itself ready
     */
    public void recover(IntSupplier unsentNotifications, Runnable onReady) {
        order.restore();
        List<ActiveRequest> unfinished = journal.unfinished(handover.adopted()).stream()
                .map(this::withBoundedDeadline)
                .toList();
        unfinished.forEach(this::restore);
        duplicates.recover();
        journal.unnotifiedOutcomes()
                .forEach((message, outcome) -> frontends.get(message.frontend()).completed(message, outcome));
        RecoverySchedule schedule = new RecoverySchedule(unfinished, settings.classes(), settings.slots(), clock.now());
        new RecoveryRunner(this, schedule, clock, loop, unsentNotifications, onReady).start();
    }

    /** Limits a restored deadline to the longest that the class allows, in case the clocks have been changed. */
    private ActiveRequest withBoundedDeadline(ActiveRequest request) {
        RequestClass messageClass = settings.classes().get(request.message.classIndex());
        return request.withDeadlineUntil(clock.now() + messageClass.deadlineNs());
    }

    /** Registers a request that an earlier process accepted; it is not yet submitted to the policy. */
    void restore(ActiveRequest request) {
        ActiveRequest.Message message = request.message;
        if (request.mayHaveRun) {
            request.deduplicatedUntil +=
                    settings.classes().get(message.classIndex()).keyWindowNs();
        }
        request.acknowledged = true;
        log.restored(request);
        requests.add(request);
        if (message.hasDeduplicationKey()) {
            duplicates.addFirst(request);
        }
    }

    /** Submits those restored requests to the policy that are still in flight, and executes its decisions. */
    void resubmit(Collection<ActiveRequest> restored) {
        for (ActiveRequest request : restored) {
            if (requests.get(request.id()) == request) {
                policy.submit(clock.now(), request);
            }
        }
        decisions.run();
    }

    /** Sets whether a recovery is in progress. */
    void setRecovering(boolean recovering) {
        this.recovering = recovering;
    }

    /** The event loop stalled for {@code stallNs}, and all input that arrived meanwhile has been read. */
    public void eventLoopStalled(long stallNs) {
        policy.eventLoopStalled(clock.now(), stallNs);
        decisions.run();
    }

    /** Learns what responses tell besides the outcomes of attempts. */
    public EndpointResponses endpointResponses() {
        return endpointResponses;
    }

    /** As {@link #submit(ActiveRequest.Message, List)}, without alternate deduplication keys. */
    public Optional<FinalOutcome> submit(ActiveRequest.Message message) {
        return submit(message, List.of());
    }

    /**
     * Accepts a message or returns its final outcome. While the event loop is stalled, a message is accepted and the
     * policy decides on it after the stall. A duplicate of a message in flight is accepted and shares the outcome of
     * the first one.
     *
     * @param alternateKeys further deduplication keys under which an earlier duplicate may have been accepted
     * @return empty if the message is accepted, now or before: {@link Frontend#completed} gets its final outcome later.
     *     Otherwise the final outcome, which is not passed to the frontend again.
     */
    public Optional<FinalOutcome> submit(ActiveRequest.Message message, List<String> alternateKeys) {
        return admission.submit(order.normalize(message), alternateKeys);
    }

    /** Registers an accepted message; returns its final outcome if that is decided immediately, otherwise null. */
    FinalOutcome accept(ActiveRequest.Message message) {
        ActiveRequest request = new ActiveRequest(message);
        requests.add(request);
        log.accepted(message);
        if (message.hasDeduplicationKey()) {
            duplicates.addFirst(request);
        }
        policy.submit(clock.now(), request);
        decisions.run();
        request.acknowledged = request.outcome == null;
        return request.outcome;
    }

    /** Whether the message is in flight or has a stored outcome. */
    public boolean isKnown(String id) {
        return admission.isKnown(id);
    }

    /** Whether a message with one of these deduplication keys is in flight or has a stored outcome. */
    public boolean isKnown(String deduplicationKey, List<String> alternateKeys) {
        return admission.isKnown(deduplicationKey, alternateKeys);
    }

    /** Enables the counts of attempts in flight per destination. */
    public void countAttemptsByDestination() {
        attempts.countByDestination();
    }

    /** Attempts in flight to a destination, of those begun since {@link #countAttemptsByDestination}. */
    public int attemptsInFlight(long destination) {
        return attempts.inFlight(destination);
    }

    /** Number of attempts in flight. */
    public int attemptsInFlight() {
        return attempts.inFlight();
    }

    /** Number of accepted requests without a final outcome, including waiting duplicates. */
    public int requestsInFlight() {
        return requests.size() + duplicates.waitingCount();
    }

    /** The client of the message has been notified of its outcome. */
    public void markNotified(String id) {
        log.notified(id);
        journal.notified(id);
        if (order.notified(id)) {
            decisions.runSoon();
        }
    }

    /** Announces when the process ends: no attempt begins that would probably get no response before. */
    public void shutDownBy(long end) {
        policy.shutDownBy(clock.now(), end);
        decisions.run();
    }

    /** Visits the circuit breaker of each destination. */
    public void forEachBreaker(BiConsumer<Long, BreakerView> visitor) {
        policy.forEachBreaker(clock.now(), visitor);
    }

    /**
     * Applies other dispatchers' health reports on a destination: they change how strongly this dispatcher's own
     * failures count, but trip no breaker without such failures.
     *
     * @param suspicion 0 to 1: the higher, the fewer failures of this dispatcher's own attempts trip the breaker
     * @param probingDispatchers number of dispatchers expected to probe the destination at about the time it recovers
     */
    public void applyHealthReports(long destination, double suspicion, double probingDispatchers) {
        policy.applyHealthReports(clock.now(), destination, suspicion, probingDispatchers);
    }

    /** Sets this dispatcher's share of the fleet's work until the next call; see {@link PolicyEvents#shareChanged}. */
    public void setFleetShare(int dispatchers, Predicate<String> preferred, double retryRatio) {
        policy.setFleetShare(clock.now(), dispatchers, preferred, retryRatio);
        decisions.run();
    }

    /** Defers attempts at these endpoints, as after a Retry-After: another dispatcher probes them for the whole fleet. */
    public void deferAttempts(List<String> endpoints, long pauseNs) {
        endpoints.forEach(endpoint -> policy.deferAttempts(clock.now(), endpoint, pauseNs));
    }

    /** Reserves the places in ordering keys of the messages that an earlier process left unfinished. */
    void restoreOrder() {
        order.restore();
    }

    /** The handover of requests from one process to the next. */
    public Handover handover() {
        return handover;
    }

    /** The snapshots of the policy's state on disk, which survive a crash. */
    public PolicySnapshots snapshots() {
        return snapshots;
    }

    /** The request with that id, or null if it is not in flight. */
    ActiveRequest request(String id) {
        return requests.get(id);
    }

    /** All requests in flight except waiting duplicates. */
    RequestsInFlight requests() {
        return requests;
    }

    /**
     * Runs a turn of the policy after an attempt has ended. During recovery there is one turn for all responses of a pass,
     * since each turn examines every waiting request.
     */
    void attemptEnded() {
        if (recovering) {
            decisions.runSoon();
        } else {
            decisions.run();
        }
    }

    /** Resumes decisions after a handover was rolled back. */
    void resume() {
        decisions.restart();
    }

    /** Has all frontends send their pending notifications. */
    void flushNotifications() {
        frontends.values().forEach(Frontend::flushNotifications);
    }

    /** Cancels an attempt if it is in flight; ignored if the request has been completed. */
    void cancelAttempt(String id, int attempt) {
        ActiveRequest request = requests.get(id);
        if (request != null) {
            attempts.cancel(request, attempt);
        }
    }

    /** Completes a request; ignored if it has been completed before. */
    void complete(ActiveRequest request, FinalOutcome decided, OutcomeReason reason) {
        if (request.outcome != null) {
            return;
        }
        ActiveRequest.Message message = request.message;
        // after a rejection, a duplicate would be attempted again, perhaps in a class that must not run twice
        boolean unsafeToRetry = decided.isRejection() && request.mayHaveRun && message.hasDeduplicationKey();
        FinalOutcome requested = unsafeToRetry ? FinalOutcome.FAILED : decided;
        FinalOutcome outcome = journal.completed(message, requested, request.acknowledged);
        request.outcome = outcome;
        metrics.requestCompleted(message.classIndex(), outcome, reason);
        log.completed(message, outcome, reason);
        requests.remove(request.id());
        order.completed(message, outcome, request.acknowledged);
        if (request.acknowledged) {
            frontends.get(message.frontend()).completed(message, outcome);
        }
        if (message.hasDeduplicationKey()) {
            duplicates.complete(request, outcome);
        }
    }
}
