package elderseam.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The requests that are held, by id, by ordering key and by destination. Bookkeeping only; confined to the policy's
 * thread.
 */
final class RequestTable {
    private final PolicyContext context;
    private final Map<String, PendingRequest> byId = new LinkedHashMap<>();
    final Map<Long, OrderedKeyQueue> keyQueues = new HashMap<>();
    /** The last requests of keys that still rest. */
    final Set<PendingRequest> resting = new LinkedHashSet<>();
    /** Destinations with requests that wait or calls in flight. */
    final List<DestinationState> active = new ArrayList<>();

    /** Requests that are owed a final answer. */
    int unfinished;
    /** The last request to arrive; null before the first. */
    PendingRequest newest;

    private long nextSequence;

    RequestTable(PolicyContext context) {
        this.context = context;
    }

    /** The request with that id, or null. */
    PendingRequest get(String id) {
        return byId.get(id);
    }

    /** Adds a request that has just arrived; it waits at its destination. */
    PendingRequest add(
            PolicyRequest message, RequestClass requestClass, DestinationState destination, double priorityWeight) {
        OrderedKeyQueue keyQueue = null;
        if (requestClass.ordered() && message.orderKey() >= 0) {
            keyQueue = keyQueues.computeIfAbsent(message.orderKey(), key -> new OrderedKeyQueue());
        }
        PendingRequest request =
                new PendingRequest(message, requestClass, destination, keyQueue, priorityWeight, nextSequence++);
        request.firstTurn = context.turn + 1;
        newest = request;
        byId.put(message.id(), request);
        unfinished++;
        if (keyQueue != null) {
            keyQueue.queue.add(request);
        }
        await(request);
        return request;
    }

    /** The request waits for an attempt. */
    void await(PendingRequest request) {
        DestinationState destination = request.destination;
        destination.waiting.add(request);
        if (!destination.active) {
            destination.active = true;
            active.add(destination);
        }
    }

    /** The request no longer waits: its next attempt is in flight with the call. */
    void startAttempt(PendingRequest request, AttemptRecord call) {
        call.pending++;
        attach(request, call, request.attempts++);
        if (request.keyQueue != null) {
            request.keyQueue.inFlight++;
        }
    }

    /** The request no longer waits: its attempt of that number is in flight with the call. */
    void attach(PendingRequest request, AttemptRecord call, int attempt) {
        call.requests.add(request);
        request.inFlight.put(attempt, call);
        request.lastEndpoint = call.endpoint;
        request.destination.waiting.remove(request);
    }

    /** The request has its final answer, or needs none; it is forgotten once no attempt is in flight. */
    void finish(PendingRequest request) {
        if (!request.finished) {
            request.finished = true;
            unfinished--;
            request.destination.waiting.remove(request);
            if (request.keyQueue != null) {
                request.keyQueue.queue.remove(request);
            }
        }
        if (request.inFlight.isEmpty()) {
            byId.remove(request.message.id());
            if (request.keyQueue != null && isResting(request)) {
                resting.add(request);
            }
        }
    }

    /** Whether its key is empty and kept only for its rest; one that need not rest is forgotten. */
    private boolean isResting(PendingRequest request) {
        OrderedKeyQueue keyQueue = request.keyQueue;
        if (!keyQueue.isEmpty()) {
            return false;
        }
        boolean rests = keyQueue.restUntil > context.now;
        if (!rests) {
            keyQueues.remove(request.message.orderKey(), keyQueue);
        }
        return rests;
    }

    void forgetRestedKeys() {
        resting.removeIf(request -> !isResting(request));
    }
}
