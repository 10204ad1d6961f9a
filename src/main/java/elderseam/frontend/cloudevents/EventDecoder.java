package elderseam.frontend.cloudevents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import elderseam.core.Clock;
import elderseam.core.SettingsMap;
import elderseam.http.HttpServer;
import io.cloudevents.CloudEvent;
import io.cloudevents.http.HttpMessageFactory;
import io.cloudevents.jackson.JsonFormat;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Reads the events of HTTP requests, in the three modes of the HTTP binding: binary, structured and batched. An event
 * is decoded once, into the message that carries it on. Confined to the I/O thread.
 */
final class EventDecoder {
    static final int MAX_BATCH_BYTES = 256 << 10;
    private static final int MAX_BATCH_EVENTS = 64;

    private static final String BATCH_FORMAT = "application/cloudevents-batch+json";
    private static final String EVENT_FORMAT = "application/cloudevents+json";
    private static final String EVENT_FORMATS_PREFIX = "application/cloudevents";
    private static final String CONTENT_TYPE = "Content-Type";

    private final ObjectMapper json = new ObjectMapper();
    private final JsonFormat eventFormat = new JsonFormat();
    private final EventMessageMapper messages;

    /** {@code retentionNs}: how long the outcome of an event is remembered. */
    EventDecoder(Clock clock, SettingsMap settings, long retentionNs) {
        this.messages = new EventMessageMapper(clock, settings, retentionNs);
    }

    /**
     * Decodes a request.
     *
     * @param ruled whether class and destination may be missing, since the operator's rules may set them
     */
    DecodedRequest decode(HttpServer.Request request, boolean ruled) {
        String mediaType = request.header(CONTENT_TYPE)
                .toLowerCase(Locale.ROOT)
                .split(";", -1)[0] // with -1 there is a first part of ";" too
                .strip();
        return switch (mediaType) {
            case BATCH_FORMAT -> decodeBatch(request.body(), ruled);
            case EVENT_FORMAT -> decodeStructured(request.body(), ruled);
            default -> decodeBinary(request, mediaType, ruled);
        };
    }

    private DecodedRequest decodeBinary(HttpServer.Request request, String mediaType, boolean ruled) {
        Map<String, String> headers = new HashMap<>();
        try {
            boolean hasAttributes = decodeHeaders(request.headers(), headers);
            if (mediaType.startsWith(EVENT_FORMATS_PREFIX) || !hasAttributes) {
                return DecodedRequest.invalid(
                        415, "neither binary mode (ce- headers) nor " + EVENT_FORMAT + " nor " + BATCH_FORMAT);
            }
        } catch (InvalidEventException e) {
            return DecodedRequest.invalid(e.status(), e.getMessage());
        }
        if (request.header("ce-specversion").isEmpty()) {
            return DecodedRequest.invalid(400, "ce-specversion is missing");
        }
        byte[] body = request.body();
        return DecodedRequest.single(
                decodeEvent(() -> HttpMessageFactory.createReader(headers, body).toEvent(), body.length, ruled));
    }

    /** Puts the attributes' headers, decoded, and Content-Type into the map; returns whether there is any attribute. */
    private static boolean decodeHeaders(HeaderMap headers, Map<String, String> into) throws InvalidEventException {
        boolean hasAttributes = false;
        for (HeaderValues header : headers) {
            String name = header.getHeaderName().toString();
            if (AttributeHeaderCodec.isAttributeHeader(name)) {
                hasAttributes = true;
                into.put(name, decodeAttribute(name, header));
            } else if (name.equalsIgnoreCase(CONTENT_TYPE)) {
                into.put(name, header.getFirst());
            }
        }
        return hasAttributes;
    }

    private static String decodeAttribute(String header, HeaderValues values) throws InvalidEventException {
        if (values.size() > 1) {
            throw InvalidEventException.malformed(header + ": told more than once");
        }
        if (header.equalsIgnoreCase("ce-datacontenttype")) {
            throw InvalidEventException.malformed(header + ": Content-Type tells it");
        }
        String attribute =
                header.substring(AttributeHeaderCodec.HEADER_PREFIX.length()).toLowerCase(Locale.ROOT);
        if (!EventValidator.isAttributeName(attribute)) {
            throw InvalidEventException.malformed(header + ": no name of an attribute: a to z and 0 to 9");
        }
        try {
            return AttributeHeaderCodec.decode(values.getFirst());
        } catch (InvalidEventException e) {
            throw InvalidEventException.malformed(header + ": " + e.getMessage());
        }
    }

    private DecodedRequest decodeStructured(byte[] body, boolean ruled) {
        try {
            JsonNode event = json.readTree(body);
            Optional<String> fault = EventValidator.faultOf(event);
            byte[] eventJson = json.writeValueAsBytes(withoutNulls(event));
            if (fault.isPresent()) {
                return DecodedRequest.invalid(400, fault.get());
            }
            return DecodedRequest.single(decodeEvent(() -> eventFormat.deserialize(eventJson), body.length, ruled));
        } catch (IOException e) {
            return notJson(e);
        }
    }

    private DecodedRequest decodeBatch(byte[] body, boolean ruled) {
        try {
            JsonNode batch = json.readTree(body);
            if (!batch.isArray()) {
                return DecodedRequest.invalid(400, "a batch is a JSON array");
            }
            if (batch.size() > MAX_BATCH_EVENTS) {
                return DecodedRequest.invalid(413, "more than " + MAX_BATCH_EVENTS + " events");
            }
            List<DecodedEvent> events = new ArrayList<>();
            for (JsonNode event : batch) {
                events.add(decodeBatchItem(event, ruled));
            }
            return new DecodedRequest(true, events);
        } catch (IOException e) {
            return notJson(e);
        }
    }

    private DecodedEvent decodeBatchItem(JsonNode event, boolean ruled) throws IOException {
        byte[] eventJson = json.writeValueAsBytes(withoutNulls(event));
        Optional<String> fault = EventValidator.faultOf(event);
        if (fault.isPresent()) {
            String source = event.path("source").asText();
            String id = event.path("id").asText();
            return new DecodedEvent.Invalid(source, id, 400, fault.get());
        }
        return decodeEvent(() -> eventFormat.deserialize(eventJson), eventJson.length, ruled);
    }

    private static DecodedRequest notJson(IOException e) {
        return DecodedRequest.invalid(400, "not JSON: " + InvalidEventException.firstLineOfRootCause(e));
    }

    /**
     * Removes the attributes that are null: they count as absent (JSON format, section 2.2), and the SDK reads them as
     * the text {@code null}.
     */
    private static JsonNode withoutNulls(JsonNode event) {
        if (event instanceof ObjectNode object) {
            object.properties()
                    .removeIf(field ->
                            field.getValue().isNull() && !field.getKey().equals("data"));
        }
        return event;
    }

    private DecodedEvent decodeEvent(Supplier<CloudEvent> reader, int size, boolean ruled) {
        if (size > EventMessageMapper.MAX_EVENT_BYTES) {
            return DecodedEvent.Invalid.unidentified(413, EventMessageMapper.TOO_LARGE);
        }
        CloudEvent event;
        try {
            event = reader.get();
        } catch (RuntimeException e) { // the SDK's exceptions have no narrower type in common
            return DecodedEvent.Invalid.unidentified(400, InvalidEventException.firstLineOfRootCause(e));
        }
        try {
            EventValidator.check(event);
            return new DecodedEvent.Valid(messages.toMessage(event, ruled), event);
        } catch (InvalidEventException e) {
            return new DecodedEvent.Invalid(event.getSource().toString(), event.getId(), e.status(), e.getMessage());
        }
    }
}
