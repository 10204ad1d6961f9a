package elderseam.frontend.cloudevents;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import elderseam.http.HttpServer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The response to one request: collects a result for each of its events, and is sent once all are there. Of the events it
 * holds the identities alone. Confined to the I/O thread.
 */
final class EventResponse {
    /**
     * The status of a response that tells no outcome, whose request may be repeated here and nowhere else: an event of it
     * may be in flight.
     */
    static final int OUTCOME_UNKNOWN = 504;

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private static final Map<String, String> OUTCOME_UNKNOWN_HEADERS = Map.of("Retry-After", "1");

    private record Identity(String source, String id) {}

    private final boolean batch;
    private final List<Identity> events;
    private final HttpServer.Answerer answerer;
    private final EventResult[] results;
    private int missing;

    /** A response without results; that to an empty batch is sent at once. */
    EventResponse(DecodedRequest request, HttpServer.Answerer answerer) {
        this.batch = request.batch();
        this.events = request.events().stream()
                .map(event -> new Identity(event.source(), event.id()))
                .toList();
        this.answerer = answerer;
        this.results = new EventResult[events.size()];
        this.missing = results.length;
        if (missing == 0) {
            send();
        }
    }

    /** Sets the result of an event, by its place in the request; the last one sends the response. */
    void complete(int index, EventResult result) {
        results[index] = result;
        missing--;
        if (missing == 0) {
            send();
        }
    }

    /** Answers a request without any outcome; see {@link #OUTCOME_UNKNOWN}. */
    static void answerOutcomeUnknown(HttpServer.Answerer answerer) {
        answerer.answer(OUTCOME_UNKNOWN, OUTCOME_UNKNOWN_HEADERS, "");
    }

    /** Sends the response without any outcome, though some may be known. No result may be set afterwards. */
    void endOutcomeUnknown() {
        answerOutcomeUnknown(answerer);
    }

    private void send() {
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json");
        if (batch) {
            answerer.answer(207, headers, batchBody() + "\n");
            return;
        }
        EventResult result = results[0];
        if (result.retryAfterS() > 0) {
            headers.put("Retry-After", Long.toString(result.retryAfterS()));
        }
        answerer.answer(result.code(), headers, body(0) + "\n");
    }

    private ArrayNode batchBody() {
        ArrayNode body = JSON.arrayNode();
        for (int i = 0; i < results.length; i++) {
            body.add(body(i));
        }
        return body;
    }

    private ObjectNode body(int index) {
        Identity event = events.get(index);
        EventResult result = results[index];
        ObjectNode body = JSON.objectNode()
                .put("source", event.source())
                .put("id", event.id())
                .put("status", result.status())
                .put("code", result.code());
        if (result.retryAfterS() > 0) {
            body.put("retry_after", result.retryAfterS());
        }
        if (!result.reason().isEmpty()) {
            body.put("fault", result.reason());
        }
        return body;
    }
}
