package elderseam.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The accepted requests without a final outcome, except waiting duplicates, with the total size of their bodies and the limit
 * on it. Confined to the event-loop thread.
 */
final class RequestsInFlight {
    private final Map<String, ActiveRequest> byId = new HashMap<>();
    private long maxBodyBytes = Long.MAX_VALUE;
    private long bodyBytes;

    /** Limits the total size of the bodies. Those of requests that are restored may exceed it. */
    void limitBodyBytes(long maxBytes) {
        maxBodyBytes = maxBytes;
    }

    /** Whether the body of another message fits in the limit. */
    boolean hasRoomFor(ActiveRequest.Message message) {
        return bodyBytes + message.body().length <= maxBodyBytes;
    }

    /** Adds a request; replaces an earlier one with the same id. */
    void add(ActiveRequest request) {
        remove(request.id());
        byId.put(request.id(), request);
        bodyBytes += request.message.body().length;
    }

    /** Removes a request, if it is in flight. */
    void remove(String id) {
        ActiveRequest removed = byId.remove(id);
        if (removed != null) {
            bodyBytes -= removed.message.body().length;
        }
    }

    /** The request with that id, or null if it is not in flight. */
    ActiveRequest get(String id) {
        return byId.get(id);
    }

    /** All of them, in no particular order. */
    Collection<ActiveRequest> all() {
        return byId.values();
    }

    /** Their number. */
    int size() {
        return byId.size();
    }
}
