package elderseam.policy;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * The policy of one sender: decides on the endpoint of each attempt, on retries and on rejections. It receives events
 * ({@link PolicyEvents}) and requests actions ({@link PolicyActions}); all attempts start in {@link #turnEnd}.
 * Decisions are deterministic: the same settings, seed and events give the same actions. Each group of endpoints has
 * a {@link CircuitBreaker}, a {@link TicketPool} and a {@link RateController}; docs/design.md describes how they
 * interact. Not thread-safe: all calls must come from one thread.
 */
public final class DispatchPolicy implements PolicyEvents {
    private final PolicyContext context;
    final EndpointDirectory directory;
    final RequestTable requests;
    private final EndpointListSubscription subscription;
    private final IdleConnectionPolicy connections;
    private final OutlierDetector outliers;
    private final RetryPolicy retryPolicy;
    private final LoadShedder loadShedder;
    private final RequestScheduler scheduler;
    private final TenantQuotas quotas;
    /** When the host's timer is due; {@code Long.MAX_VALUE} if none is set. */
    private long timerAt = Long.MAX_VALUE;

    /**
     * @param seed the seed of the random number generator
     * @param actions carries out each decision, within the call that made it
     */
    public DispatchPolicy(PolicySettings settings, long seed, PolicyActions actions) {
        context = new PolicyContext(settings, seed, actions);
        directory = new EndpointDirectory(context);
        requests = context.requests;
        quotas = new TenantQuotas(settings);
        subscription = new EndpointListSubscription(context);
        connections = new IdleConnectionPolicy(context, directory.endpoints.values());
        outliers = new OutlierDetector(context, connections);
        retryPolicy = new RetryPolicy(context);
        loadShedder = new LoadShedder(context);
        scheduler = new RequestScheduler(context, loadShedder, retryPolicy, connections);
    }

    private void advance(long now) {
        if (now < context.now) {
            throw new IllegalArgumentException("time moved backwards from " + context.now + " to " + now);
        }
        if (context.now == PolicyContext.NOT_STARTED) {
            subscription.start(now);
            quotas.start(now);
        }
        context.now = now;
    }

    @Override
    public void endpoints(long now, ListUpdateKind kind, List<ListedEndpoint> entries) {
        advance(now);
        if (kind == ListUpdateKind.FAILED) {
            subscription.onFailure(now);
            return;
        }
        subscription.onUpdate(kind);
        directory.update(kind != ListUpdateKind.CHANGES, entries);
    }

    @Override
    public boolean serves(long now, long destination) {
        advance(now);
        return LoadShedder.mayAccept(directory.destinations.get(destination), context);
    }

    @Override
    public void request(long now, PolicyRequest request) {
        accept(now, request);
    }

    private PendingRequest accept(long now, PolicyRequest message) {
        advance(now);
        if (requests.get(message.id()) != null) {
            throw new IllegalArgumentException("duplicate id: request " + message.id() + " is already pending");
        }
        RequestClass requestClass = context.settings.classes().get(message.requestClass());
        boolean withinQuota = quotas.tryConsume(now, message.tenant(), context.senderCount);
        double weight = loadShedder.priorityWeight(requestClass, withinQuota);
        return requests.add(message, requestClass, directory.destination(message.destination()), weight);
    }

    @Override
    public void restored(
            long now, PolicyRequest message, int attempts, boolean mayHaveRun, long keyValidUntil, int keyZone) {
        PendingRequest request = accept(now, message);
        request.firstTurn = 0;
        request.attempts = attempts;
        request.mayHaveRun = mayHaveRun;
        request.keyValidUntil = keyValidUntil;
        request.keyZone = keyZone;
    }

    @Override
    public int zoneOf(String endpoint) {
        EndpointState listed = directory.endpoints.get(endpoint);
        return listed == null ? UNKNOWN_ZONE : listed.zone;
    }

    @Override
    public void reserved(long now, long orderKey, String id) {
        advance(now);
        requests.reserve(orderKey, id);
    }

    @Override
    public void settled(long now, String id) {
        advance(now);
        requests.settle(id);
    }

    @Override
    public void restOrderingKeys(long now) {
        advance(now);
        requests.restNewKeys(now + context.settings.keyRestNs());
    }

    @Override
    public OrderedKeyView orderedKey(long now, String id) {
        advance(now);
        return requests.orderedKeyView(id);
    }

    @Override
    public OrderedKeyCounts orderedKeys(long now) {
        advance(now);
        return requests.countKeys();
    }

    @Override
    public void adopted(long now, String id, String endpoint, long start) {
        advance(now);
        PendingRequest request = requests.get(id);
        AttemptRecord call = new AttemptRecord(directory.endpoints.get(endpoint), start, context.turn);
        call.pendingOutcomes = 1;
        call.group.tickets.addInFlight(call);
        requests.attach(request, call, request.attempts - 1);
    }

    @Override
    public void transfer(long now, SnapshotCursor snapshot) {
        advance(now);
        PolicySnapshot.transfer(snapshot, directory);
        connections.transfer(snapshot);
        context.answerLoss.transfer(snapshot);
        quotas.transfer(snapshot);
        context.latency.baselineLatencyNs = snapshot.real(context.latency.baselineLatencyNs);
    }

    @Override
    public void shutdownScheduled(long now, long end) {
        advance(now);
        context.shutdownAt = end;
    }

    @Override
    public void outcome(long now, CompletedAttempt outcome) {
        advance(now);
        context.answerLoss.roll(now);
        PendingRequest request = requests.get(outcome.id());
        AttemptRecord call = request == null ? null : requests.detach(request, outcome.attempt());
        if (call == null) { // the request is over; what its endpoint asked for is not
            retryAfter(now, outcome.endpoint(), outcome.retryAfterNs());
            return;
        }
        outliers.onOutcome(call, outcome, now);
        call.endpoint.onCallEnded(outcome.result(), now);
        if (--call.pendingOutcomes == 0) {
            call.group.tickets.release(call);
            connections.onCallEnded(call.endpoint);
        }
        retryPolicy.onAttemptEnded(request, call, outcome.result(), now);
        if (outcome.requestFinished() || request.finished) {
            requests.finish(request);
            return;
        }
        retryPolicy.scheduleRetry(request, outcome, now);
    }

    @Override
    public void lateAnswer(long now, String address, long waitNs, LimitReport report) {
        advance(now);
        EndpointGroup group = directory.groupOf(address);
        if (group != null) {
            group.rate.onRetryAfter(waitNs, now);
            group.rate.onReport(report, now);
        }
    }

    @Override
    public void retryAfter(long now, String address, long waitNs) {
        advance(now);
        EndpointGroup group = directory.groupOf(address);
        if (group != null && waitNs > 0) {
            group.rate.onRetryAfter(waitNs, now);
            group.breaker.onRetryAfter(waitNs, now);
        }
    }

    @Override
    public void hostStalled(long now, long stallNs) {
        advance(now);
        for (DestinationState destination : requests.activeDestinations) {
            for (EndpointGroup group : destination.groups) {
                for (AttemptRecord call : group.tickets.inFlight) {
                    call.stalledNs = Math.min(now - call.start, call.stalledNs + stallNs);
                }
            }
        }
    }

    @Override
    public boolean mayStart(long now, String id, String address) {
        return RetryPolicy.mayStillAttempt(requests.get(id), directory.endpoints.get(address), now);
    }

    @Override
    public void forEachBreaker(long now, BiConsumer<Long, BreakerView> consumer) {
        directory.endpoints.values().stream()
                .map(endpoint -> endpoint.destination)
                .distinct()
                .forEach(destination ->
                        consumer.accept(destination.id, DestinationHealth.breakerView(destination, now)));
    }

    @Override
    public EndpointCounts endpointCounts(long now) {
        return DestinationHealth.countEndpoints(directory.endpoints.values(), now);
    }

    @Override
    public void peerHealthReported(long now, long id, double suspicion, double returningSenders) {
        DestinationState destination = directory.destinations.get(id);
        if (destination != null) {
            for (EndpointGroup group : destination.groups) {
                group.breaker.suspicion = suspicion;
                group.breaker.returningSenders = returningSenders;
            }
        }
    }

    @Override
    public void shareChanged(long now, int senderCount, Predicate<String> preferred, double retryRatio) {
        advance(now);
        context.senderCount = Math.max(1, senderCount);
        context.retryRatio = retryRatio;
        directory.setSubset(preferred);
    }

    @Override
    public void withdrawn(long now, String id) {
        advance(now);
        PendingRequest request = requests.get(id);
        if (request != null) {
            requests.finish(request);
        }
    }

    @Override
    public void timer(long now, long token) {
        advance(now);
        if (now >= timerAt - PolicyContext.TICK_NS) {
            timerAt = Long.MAX_VALUE; // the host may round the due time to its timer resolution
        }
    }

    @Override
    public void turnEnd(long now) {
        advance(now);
        context.turn++;
        subscription.tick(now);
        context.nextTurnAt = Long.MAX_VALUE;
        if (context.latency.update(now)) {
            requests.removeRestedKeys();
        }
        context.answerLoss.roll(now);
        outliers.checkAnswerLoss();
        requests.activeDestinations.forEach(destination -> tick(destination, now));
        requests.activeDestinations.removeIf(destination -> !destination.active);
        loadShedder.shed(now);
        scheduler.startAttempts(now);
        connections.closeUnwanted();
        subscription.scheduleTurn();
        if (context.nextTurnAt < timerAt) {
            timerAt = Math.max(context.nextTurnAt, now + PolicyContext.TICK_NS);
            context.actions.timer(0, timerAt - now);
        }
    }

    /**
     * Applies the passage of time to a destination: ends sleep windows of breakers, refills tokens, detects overdue
     * calls and expires requests.
     */
    private void tick(DestinationState destination, long now) {
        boolean inFlight = false;
        boolean requestsWait = !destination.waiting.isEmpty();
        for (EndpointGroup group : destination.groups) {
            group.roll(now);
            group.rate.refill(now);
            group.breaker.tick(now);
            outliers.checkOverdue(group, now);
            retryPolicy.cancelOverdue(group, requestsWait, now);
            inFlight |= !group.tickets.inFlight.isEmpty();
        }
        loadShedder.expire(destination, now);
        destination.active = inFlight || !destination.waiting.isEmpty();
    }
}
