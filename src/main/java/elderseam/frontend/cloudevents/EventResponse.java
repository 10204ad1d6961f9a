package elderseam.frontend.cloudevents;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import elderseam.http.HttpServer;
import java.util.HashMap;
import java.util.Map;

/**
 * The response to one request: collects a result for each of its events, and is sent once all are there. Confined to the
 * I/O thread.
 */
final class EventResponse {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private final DecodedRequest request;
    private final HttpServer.Answerer answerer;
    private final EventResult[] results;
    private int missing;

    /** A response without results; that to an empty batch is sent at once. */
    EventResponse(DecodedRequest request, HttpServer.Answerer answerer) {
        this.request = request;
        this.answerer = answerer;
        this.results = new EventResult[request.events().size()];
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

    private void send() {
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json");
        if (request.batch()) {
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
        DecodedEvent event = request.events().get(index);
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
