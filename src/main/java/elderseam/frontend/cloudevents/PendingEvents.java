package elderseam.frontend.cloudevents;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The responses that wait for final outcomes. An event may be in several, as its sender may repeat it; a response is
 * removed with the connection that would take it, so that the limits on connections and on events in a request bound
 * what is held here. Confined to the I/O thread.
 */
final class PendingEvents {
    /** An event without a final outcome, by its place in a request. */
    private record PendingEvent(EventResponse response, int index) {}

    private final Map<String, List<PendingEvent>> eventsById = new HashMap<>(); // by the messages' ids
    private final Map<EventResponse, List<String>> idsByResponse = new HashMap<>();

    /** Lets a response wait for the outcome of a message, which is the event at that place of its request. */
    void add(String messageId, EventResponse response, int index) {
        eventsById.computeIfAbsent(messageId, id -> new ArrayList<>(1)).add(new PendingEvent(response, index));
        idsByResponse.computeIfAbsent(response, any -> new ArrayList<>(1)).add(messageId);
    }

    /** Sets the result of a message in all responses that wait for it. */
    void complete(String messageId, EventResult result) {
        List<PendingEvent> completed = eventsById.remove(messageId);
        if (completed == null) {
            return;
        }
        for (PendingEvent event : completed) {
            forget(event.response(), messageId);
            event.response().complete(event.index(), result);
        }
    }

    private void forget(EventResponse response, String messageId) {
        List<String> ids = idsByResponse.get(response);
        ids.remove(messageId);
        if (ids.isEmpty()) {
            idsByResponse.remove(response);
        }
    }

    /** Removes a response that nobody takes any more. The events go on. */
    void remove(EventResponse response) {
        List<String> ids = idsByResponse.remove(response);
        if (ids == null) {
            return;
        }
        for (String id : ids) {
            List<PendingEvent> events = eventsById.get(id);
            if (events != null && events.removeIf(event -> event.response() == response) && events.isEmpty()) {
                eventsById.remove(id);
            }
        }
    }

    /** Ends all responses without any outcome. The events go on. */
    void endAll() {
        List<EventResponse> ended = List.copyOf(idsByResponse.keySet());
        eventsById.clear();
        idsByResponse.clear();
        ended.forEach(EventResponse::endOutcomeUnknown);
    }
}
