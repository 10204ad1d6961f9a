package elderseam.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The pending requests, by id, by ordering key and by destination. Makes no decisions; confined to the policy's
 * thread.
 */
final class RequestTable {
    private final PolicyContext context;
    private final Map<String, PendingRequest> byId = new LinkedHashMap<>();
    final Map<Long, OrderedKeyQueue> keyQueues = new HashMap<>();
    /** The queue of each unsettled request with an ordering key, by the id of the request. */
    private final Map<String, OrderedKeyQueue> keyQueuesById = new HashMap<>();
    /** Queues without requests that are kept because their key still rests. */
    final Set<OrderedKeyQueue> resting = new LinkedHashSet<>();
    /** Each new key rests at least until this time. */
    private long newKeysRestUntil = Long.MIN_VALUE;
    /** Destinations with waiting requests or calls in flight. */
    final List<DestinationState> activeDestinations = new ArrayList<>();

    /** Number of requests without a final outcome. */
    int unfinished;
    /** The request that arrived last; null before the first. */
    PendingRequest newest;

    private long nextSequence;

    RequestTable(PolicyContext context) {
        this.context = context;
    }

    /** The request with that id, or null. */
    PendingRequest get(String id) {
        return byId.get(id);
    }

    /** Adds a new request to those that wait at its destination. */
    PendingRequest add(
            PolicyRequest message, RequestClass requestClass, DestinationState destination, double priorityWeight) {
        OrderedKeyQueue keyQueue = null;
        if (requestClass.ordered() && message.orderKey() >= 0) {
            keyQueue = reserve(message.orderKey(), message.id());
        }
        PendingRequest request =
                new PendingRequest(message, requestClass, destination, keyQueue, priorityWeight, nextSequence++);
        request.firstTurn = context.turn + 1;
        newest = request;
        byId.put(message.id(), request);
        unfinished++;
        addWaiting(request);
        return request;
    }

    /** Appends a request to the queue of an ordering key, unless it is already queued there. */
    OrderedKeyQueue reserve(long orderKey, String id) {
        OrderedKeyQueue keyQueue = keyQueues.computeIfAbsent(orderKey, this::newKeyQueue);
        keyQueue.add(id);
        keyQueuesById.put(id, keyQueue);
        return keyQueue;
    }

    private OrderedKeyQueue newKeyQueue(long orderKey) {
        OrderedKeyQueue keyQueue = new OrderedKeyQueue(orderKey);
        keyQueue.rest(newKeysRestUntil);
        return keyQueue;
    }

    /** Pauses the attempts of each key that is first used from now on until that time. */
    void restNewKeys(long until) {
        newKeysRestUntil = until;
    }

    /** Removes a request from the queue of its ordering key, if it has one; it no longer blocks the later ones. */
    void settle(String id) {
        OrderedKeyQueue keyQueue = keyQueuesById.remove(id);
        if (keyQueue != null) {
            keyQueue.remove(id);
            removeIfIdle(keyQueue);
        }
    }

    /** The state of the ordering key of a request that is not settled. */
    OrderedKeyView orderedKeyView(String id) {
        OrderedKeyQueue keyQueue = keyQueuesById.get(id);
        if (keyQueue == null) {
            return OrderedKeyView.NONE;
        }
        String first = keyQueue.first();
        String hold = keyQueue.holdOf(first, context.now).name().toLowerCase(Locale.ROOT);
        return new OrderedKeyView(first, hold, keyQueue.size());
    }

    /** Counts the ordering keys that have unsettled requests. */
    OrderedKeyCounts countKeys() {
        int keys = 0;
        int inFlight = 0;
        int restingKeys = 0;
        for (OrderedKeyQueue keyQueue : Set.copyOf(keyQueuesById.values())) {
            keys++;
            inFlight += keyQueue.inFlight > 0 ? 1 : 0;
            restingKeys += context.now < keyQueue.restUntil ? 1 : 0;
        }
        return new OrderedKeyCounts(keys, inFlight, restingKeys, keyQueuesById.size());
    }

    /** Adds a request to those that wait for an attempt at its destination. */
    void addWaiting(PendingRequest request) {
        DestinationState destination = request.destination;
        destination.waiting.add(request);
        if (!destination.active) {
            destination.active = true;
            activeDestinations.add(destination);
        }
    }

    /** Records that the next attempt of a waiting request is in flight as part of the call. */
    void startAttempt(PendingRequest request, AttemptRecord call) {
        call.pendingOutcomes++;
        attach(request, call, request.attempts++);
    }

    /** Records that the attempt of that number is in flight as part of the call; the request no longer waits. */
    void attach(PendingRequest request, AttemptRecord call, int attempt) {
        call.requests.add(request);
        request.inFlight.put(attempt, call);
        request.lastEndpoint = call.endpoint;
        request.destination.waiting.remove(request);
        if (request.keyQueue != null) {
            request.keyQueue.inFlight++;
        }
    }

    /** Records the end of an attempt; returns the call that it was part of, or null if the attempt is not in flight. */
    AttemptRecord detach(PendingRequest request, int attempt) {
        AttemptRecord call = request.inFlight.remove(attempt);
        if (call != null && request.keyQueue != null) {
            request.keyQueue.inFlight--;
        }
        return call;
    }

    /** Settles a request that is delivered or withdrawn; it is removed once no attempt is in flight. */
    void finish(PendingRequest request) {
        if (!request.finished) {
            settle(request.message.id());
        }
        markFinished(request);
    }

    /**
     * Finishes a request that is rejected or has failed. It keeps its place in its ordering key until the host reports
     * that the client has received the outcome.
     */
    void giveUp(PendingRequest request) {
        markFinished(request);
    }

    private void markFinished(PendingRequest request) {
        if (!request.finished) {
            request.finished = true;
            unfinished--;
            request.destination.waiting.remove(request);
        }
        if (request.inFlight.isEmpty()) {
            byId.remove(request.message.id());
            if (request.keyQueue != null) {
                removeIfIdle(request.keyQueue);
            }
        }
    }

    private void removeIfIdle(OrderedKeyQueue keyQueue) {
        if (isResting(keyQueue)) {
            resting.add(keyQueue);
        }
    }

    /** Whether the queue is empty and kept only because the key rests; an empty queue whose key does not is removed. */
    private boolean isResting(OrderedKeyQueue keyQueue) {
        if (!keyQueue.isEmpty()) {
            return false;
        }
        boolean rests = keyQueue.restUntil > context.now;
        if (!rests) {
            keyQueues.remove(keyQueue.key, keyQueue);
        }
        return rests;
    }

    void removeRestedKeys() {
        resting.removeIf(keyQueue -> !isResting(keyQueue));
    }
}
