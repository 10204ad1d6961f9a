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

/** Encodes several messages as one call, and reads the outcome of each from the answer. Stateless. */
final class BatchCodec {
    /** Bytes that an entry takes besides its id, its idempotency key and its body, at most. */
    private static final int ENTRY_OVERHEAD_BYTES = 32;

    /** A character of an id or a key may be escaped to so many bytes. */
    private static final int MAX_BYTES_PER_CHARACTER = 6;

    private static final JsonFactory FACTORY = new JsonFactory();

    private BatchCodec() {}

    /** The most bytes that a message takes in a call with others. */
    static int maxBytes(ActiveRequest.Message message) {
        int characters = message.id().length() + message.idempotencyKey().length();
        int base64Bytes = (message.body().length + 2) / 3 * 4;
        return ENTRY_OVERHEAD_BYTES + MAX_BYTES_PER_CHARACTER * characters + base64Bytes;
    }

    /** The body of a call with these messages. */
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
            throw new IllegalStateException(e); // cannot happen in memory
        }
        return bytes.toByteArray();
    }

    /**
     * The outcome of one message by the answer to its call. An answer that broke off, can't be read, or does not say plainly
     * what became of the message leaves it as one that may have run.
     *
     * @param whole the outcome that the answer's status gives to all messages alike
     * @param states of {@link #states}
     */
    static AttemptOutcome outcome(HttpResult result, AttemptOutcome whole, Map<String, Status> states, String id) {
        if (result.code() != 200) {
            return whole;
        }
        if (!result.answered()) { // a delivery counts with the whole answer only
            return AttemptOutcome.unanswered(result.progress(), result.failure());
        }
        Status status = states.getOrDefault(id, Status.ERROR);
        return new AttemptOutcome(
                Progress.ANSWERED, status, whole.retryAfterNs(), whole.headroom(), whole.limitPerSecond());
    }

    /** What an answer says of each message; one of which it says two things has {@link Status#ERROR}. */
    static Map<String, Status> states(HttpResult result) {
        Map<String, Status> states = new HashMap<>();
        if (!result.answered() || result.code() != 200) {
            return states;
        }
        try {
            for (JsonValue entry : JsonValue.read(result.body()).items()) {
                Status status = status(entry.get("state").asText(""));
                states.merge(entry.get("id").asText(""), status, (one, other) -> one == other ? one : Status.ERROR);
            }
        } catch (IOException e) { // no JSON: nothing is known of any message
            states.clear();
        }
        return states;
    }

    private static Status status(String state) {
        return switch (state) {
            case "accepted" -> Status.DELIVERED;
            case "deferred" -> Status.OVERLOADED;
            case "expired" -> Status.WITHDRAWN; // as 410
            case "no_more" -> Status.EXPIRED; // as 504
            default -> Status.ERROR; // "fault", and what the protocol does not know
        };
    }
}
