package elderseam.frontend.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import elderseam.core.ActiveRequest;
import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.JsonValue;
import elderseam.http.HttpResult;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Encodes several messages as the body of one call, and decodes the outcome of each from the response. Stateless. */
final class BatchCodec {
    /** The maximum size of an entry without its id, idempotency key and body, in bytes. */
    private static final int ENTRY_OVERHEAD_BYTES = 32;

    /** The maximum size of an escaped character of an id or idempotency key, in bytes. */
    private static final int MAX_BYTES_PER_CHARACTER = 6;

    private static final JsonFactory FACTORY = new JsonFactory();

    private BatchCodec() {}

    /** The maximum size of a message's entry in the body of a batch call, in bytes. */
    static int maxEncodedBytes(ActiveRequest.Message message) {
        int characters = message.id().length() + message.idempotencyKey().length();
        int base64Bytes = (message.body().length + 2) / 3 * 4;
        return ENTRY_OVERHEAD_BYTES + MAX_BYTES_PER_CHARACTER * characters + base64Bytes;
    }

    /** Encodes the body of a batch call with these messages. */
    static byte[] encode(List<ActiveRequest.Message> messages) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(bytes)) {
            json.writeStartArray();
            for (ActiveRequest.Message message : messages) {
                json.writeStartObject();
                json.writeStringField("id", message.id());
                if (!message.idempotencyKey().isEmpty()) {
                    json.writeStringField("key", message.idempotencyKey());
                }
                json.writeBinaryField("body", message.body());
                json.writeEndObject();
            }
            json.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException(e); // an in-memory stream does not fail
        }
        return bytes.toByteArray();
    }

    /**
     * Returns the outcome of one message of a batch call. The message may have run if the response is incomplete or
     * malformed, or does not state the message's outcome unambiguously.
     *
     * @param callOutcome the outcome of the whole call according to its HTTP status; applies to all its messages unless
     *     that status is 200
     * @param statuses the result of {@link #statusesById}
     * @param id the id of the message
     */
    static AttemptOutcome outcome(
            HttpResult result, AttemptOutcome callOutcome, Map<String, Status> statuses, String id) {
        if (result.code() != 200) {
            return callOutcome;
        }
        if (!result.answered()) { // a delivery counts only in a complete response
            return AttemptOutcome.unanswered(result.progress(), result.failure());
        }
        Status status = statuses.getOrDefault(id, Status.ERROR);
        return new AttemptOutcome(
                Progress.ANSWERED,
                status,
                callOutcome.retryAfterNs(),
                callOutcome.headroom(),
                callOutcome.limitPerSecond());
    }

    /**
     * Decodes the status of each message, by its id. A message that is listed with two different statuses has {@link
     * Status#ERROR}. Empty if the response is incomplete or malformed, or if its HTTP status is not 200.
     */
    static Map<String, Status> statusesById(HttpResult result) {
        Map<String, Status> statuses = new HashMap<>();
        if (!result.answered() || result.code() != 200) {
            return statuses;
        }
        try {
            for (JsonValue entry : JsonValue.read(result.body()).items()) {
                Status status = parseStatus(entry.get("state").asText(""));
                statuses.merge(
                        entry.get("id").asText(""), status, (first, second) -> first == second ? first : Status.ERROR);
            }
        } catch (IOException e) { // malformed JSON: the outcome of every message is unknown
            statuses.clear();
        }
        return statuses;
    }

    private static Status parseStatus(String state) {
        return switch (state) {
            case "accepted" -> Status.DELIVERED;
            case "deferred" -> Status.OVERLOADED;
            case "expired" -> Status.WITHDRAWN; // equivalent to HTTP status 410
            case "no_more" -> Status.EXPIRED; // equivalent to HTTP status 504
            default -> Status.ERROR; // "fault", and states that the protocol does not define
        };
    }
}
