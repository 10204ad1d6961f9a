package elderseam.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Starts attempts once per turn: waiting requests in the order of their priority, each at the endpoint selected for it.
 * Requests of the same ordering key are attempted one at a time. Times are nanoseconds of the host's clock; confined to
 * the policy's thread.
 */
final class RequestScheduler {
    private static final Comparator<PendingRequest> BY_PRIORITY = Comparator.comparingDouble(
                    (PendingRequest request) -> -request.priority)
            .thenComparingLong(request -> request.sequence);

    private final PolicyContext context;
    private final LoadShedder loadShedder;
    private final EndpointSelector selector;
    private final RetryPolicy retryPolicy;
    private final IdleConnectionPolicy connections;
    private final List<PendingRequest> candidates = new ArrayList<>(); // reused in each turn

    RequestScheduler(
            PolicyContext context, LoadShedder loadShedder, RetryPolicy retryPolicy, IdleConnectionPolicy connections) {
        this.context = context;
        this.loadShedder = loadShedder;
        this.selector = new EndpointSelector(context);
        this.retryPolicy = retryPolicy;
        this.connections = connections;
    }

    /** Starts the attempts that may start now, and requests a turn for the time when more may start. */
    void startAttempts(long now) {
        candidates.clear();
        for (DestinationState destination : context.requests.activeDestinations) {
            if (!destination.waiting.isEmpty()) {
                collectCandidates(destination, now);
            }
        }
        candidates.sort(BY_PRIORITY);
        for (PendingRequest request : candidates) {
            EndpointState endpoint = isNextOfItsKey(request, now) ? selector.select(request, now) : null;
            if (endpoint != null) {
                start(request, endpoint, now);
            }
        }
        for (DestinationState destination : context.requests.activeDestinations) {
            destination.groups.forEach(group -> scheduleTurn(group, !destination.waiting.isEmpty(), now));
        }
    }

    /** Adds all due requests if a breaker is closed; only one, for a trial call, if a breaker is half-open. */
    private void collectCandidates(DestinationState destination, long now) {
        boolean closed = false;
        boolean halfOpen = false;
        for (EndpointGroup group : destination.groups) {
            if (group.tickets.isAvailable(now)) {
                closed |= group.breaker.isClosed();
                halfOpen |= group.breaker.isHalfOpen();
            }
        }
        if (!closed && !halfOpen) {
            return;
        }
        PendingRequest trial = null;
        int requestsPerCall = Math.min(destination.kind.batch(), destination.waiting.size());
        for (PendingRequest request : destination.waiting) {
            if (!isDue(request, now)) {
                continue;
            }
            request.priority = requestsPerCall * loadShedder.priority(request, now, 0);
            if (closed) {
                candidates.add(request);
            } else if (trial == null || isBetterTrial(request, trial)) {
                trial = request;
            }
        }
        if (trial != null) {
            candidates.add(trial);
        }
    }

    /** Whether neither backoff nor ordering key blocks the request; otherwise requests a turn for when it is due. */
    private boolean isDue(PendingRequest request, long now) {
        boolean backsOff = now < request.notBefore;
        if (!backsOff && isNextOfItsKey(request, now)) {
            return true;
        }
        context.requestTurnAt(backsOff ? request.notBefore : request.keyQueue.restUntil);
        return false;
    }

    private static boolean isNextOfItsKey(PendingRequest request, long now) {
        OrderedKeyQueue key = request.keyQueue;
        return key == null || key.holdOf(request.message.id(), now) == OrderedKeyQueue.Hold.NONE;
    }

    /** Compares by risk of a repeated effect first, the smaller being better, then by priority. */
    private static boolean isBetterTrial(PendingRequest request, PendingRequest other) {
        int risk = request.requestClass.idempotency().compareTo(other.requestClass.idempotency());
        return risk < 0 || (risk == 0 && request.priority > other.priority);
    }

    private void scheduleTurn(EndpointGroup group, boolean requestsWait, long now) {
        if (requestsWait) {
            context.requestTurnAt(group.tickets.availableAt(now));
        }
        List<AttemptRecord> inFlight = group.tickets.inFlight;
        if (!inFlight.isEmpty() && inFlight.get(inFlight.size() - 1).start == now) {
            context.requestTurnAt(now + group.tickets.overdueAfterNs);
        }
    }

    private void start(PendingRequest request, EndpointState endpoint, long now) {
        boolean sharesCall = selector.joinsBatch(endpoint, request);
        if (!sharesCall) {
            AttemptRecord call = new AttemptRecord(endpoint, now, context.turn);
            connections.beforeCall(call);
            selector.onCall(endpoint, now);
            endpoint.group.tickets.acquire(call, now);
        }
        retryPolicy.onAttempt(request, now);
        context.requests.startAttempt(request, endpoint.batch);
        context.actions.send(request.message.id(), endpoint.address, request.message.deadline(), sharesCall);
    }
}
