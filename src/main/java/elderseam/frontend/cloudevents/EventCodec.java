package elderseam.frontend.cloudevents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.SettingsMap;
import elderseam.http.HttpServer.Request;
import elderseam.policy.PolicySettings;
import elderseam.policy.RequestClass;
import io.cloudevents.CloudEvent;
import io.cloudevents.http.HttpMessageFactory;
import io.cloudevents.jackson.JsonFormat;
import io.cloudevents.rw.CloudEventRWException;
import io.undertow.util.HeaderValues;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Events as messages, by the mapping of docs/design.md: the type is the class, extensions name destination, tenant and
 * deadline, source and id are the identity. An event is decoded once, into the request that will carry it on.
 */
final class EventCodec {
    private static final Pattern DESTINATION = Pattern.compile("\\d{1,18}"); // once: each event meets it
    static final int MOST_EVENT = 64 << 10, MOST_BATCH = 256 << 10, MOST_EVENTS = 64;
    private static final String BATCH = "application/cloudevents-batch+json", ONE = "application/cloudevents+json";

    /** One event of a request: its message, or why there is none. */
    record Item(String source, String id, ActiveRequest.Message message, int code, String fault, CloudEvent event) {
        Item(String source, String id, ActiveRequest.Message message, int code, String fault) {
            this(source, id, message, code, fault, null);
        }

        /** What the event says of itself, extensions too. */
        Map<String, String> attributes() {
            Map<String, String> all = new HashMap<>();
            event.getAttributeNames().stream()
                    .filter(n -> event.getAttribute(n) != null)
                    .forEach(n -> all.put(n, event.getAttribute(n).toString()));
            event.getExtensionNames().forEach(n -> all.put(n, String.valueOf(event.getExtension(n))));
            return all;
        }

        byte[] data() {
            return event.getData() == null ? new byte[0] : event.getData().toBytes();
        }

        static Item fault(int code, String words) {
            return new Item("", "", null, code, words);
        }
    }

    /** A decoded request; with a batch, each event has its own answer. */
    record Decoded(boolean batch, List<Item> items) {}

    /** What goes out for an event: headers and payload, in the SDK's binary mode. */
    record Outgoing(Map<String, String> headers, byte[] payload) {}

    private final ObjectMapper json = new ObjectMapper();
    private final JsonFormat format = new JsonFormat();
    private final Clock clock;
    private final List<String> classes, tenants;
    private final PolicySettings settings;
    private final long rememberNs;

    EventCodec(Clock clock, SettingsMap settings, long rememberNs) {

        this.clock = clock;
        this.classes = settings.names("services");
        this.tenants = settings.names("orgs");
        this.settings = settings.settings();
        this.rememberNs = rememberNs;
    }

    Decoded decode(Request r) {
        return decode(r, false);
    }

    /** {@code ruled}: class and destination may be missing, for the operator's rules to say. */
    Decoded decode(Request r, boolean ruled) {
        String type =
                r.header("Content-Type").toLowerCase(Locale.ROOT).split(";")[0].strip();
        if (type.equals(BATCH)) {
            return batch(r.body(), ruled);
        }
        if (type.equals(ONE)) {
            return structured(r.body(), ruled);
        }
        Map<String, String> headers = new HashMap<>();
        boolean binary = false;
        for (HeaderValues h : r.headers()) {
            String name = h.getHeaderName().toString();
            boolean attribute = name.regionMatches(true, 0, "ce-", 0, 3);
            binary |= attribute;
            String fault = attribute ? attribute(name, h, headers) : "";
            if (!fault.isEmpty()) {
                return new Decoded(false, List.of(Item.fault(400, name + ": " + fault)));
            }
            if (name.equalsIgnoreCase("Content-Type")) {
                headers.put(name, h.getFirst());
            }
        }
        if (type.startsWith("application/cloudevents") || !binary) {
            return new Decoded(
                    false, List.of(Item.fault(415, "neither binary mode (ce- headers) nor " + ONE + " nor " + BATCH)));
        }
        if (r.header("ce-specversion").isEmpty()) {
            return new Decoded(false, List.of(Item.fault(400, "ce-specversion is missing")));
        }
        return one(() -> HttpMessageFactory.createReader(headers, r.body()).toEvent(), r.body().length, ruled);
    }

    /** One attribute's header; what is wrong with it, or nothing. */
    private static String attribute(String name, HeaderValues values, Map<String, String> into) {
        if (values.size() > 1) {
            return "told more than once";
        }
        if (name.equalsIgnoreCase("ce-datacontenttype")) {
            return "Content-Type tells it";
        }
        if (!EventValidator.isName(name.substring(3).toLowerCase(Locale.ROOT))) {
            return "no name of an attribute: a to z and 0 to 9";
        }
        try {
            into.put(name, AttributeHeaderCodec.decode(values.getFirst()));
            return "";
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
    }

    private Decoded structured(byte[] body, boolean ruled) {
        try {
            JsonNode event = json.readTree(body);
            String fault = EventValidator.fault(event);
            byte[] told = json.writeValueAsBytes(told(event));
            return fault.isEmpty()
                    ? one(() -> format.deserialize(told), body.length, ruled)
                    : new Decoded(false, List.of(Item.fault(400, fault)));
        } catch (IOException e) {
            return new Decoded(false, List.of(Item.fault(400, "not JSON: " + firstLine(e))));
        }
    }

    /** Without the attributes that are null, which is to say not set (JSON format, section 2.2): the SDK writes "null". */
    private static JsonNode told(JsonNode event) {
        if (event instanceof ObjectNode object) {
            object.properties()
                    .removeIf(field ->
                            field.getValue().isNull() && !field.getKey().equals("data"));
        }
        return event;
    }

    private interface Reading {
        CloudEvent read();
    }

    private Decoded one(Reading reading, int size, boolean ruled) {
        return new Decoded(false, List.of(item(reading, size, ruled)));
    }

    private Decoded batch(byte[] body, boolean ruled) {
        List<Item> items = new ArrayList<>();
        try {
            JsonNode list = json.readTree(body);
            if (!list.isArray()) {
                return new Decoded(false, List.of(Item.fault(400, "a batch is a JSON array")));
            }
            if (list.size() > MOST_EVENTS) {
                return new Decoded(false, List.of(Item.fault(413, "more than " + MOST_EVENTS + " events")));
            }
            for (JsonNode event : list) {
                byte[] bytes = json.writeValueAsBytes(told(event));
                String fault = EventValidator.fault(event);
                items.add(
                        !fault.isEmpty()
                                ? new Item(
                                        event.path("source").asText(),
                                        event.path("id").asText(),
                                        null,
                                        400,
                                        fault)
                                : item(() -> format.deserialize(bytes), bytes.length, ruled));
            }
            return new Decoded(true, items);
        } catch (IOException e) {
            return new Decoded(false, List.of(Item.fault(400, "not JSON: " + firstLine(e))));
        }
    }

    private Item item(Reading reading, int size, boolean ruled) {
        if (size > MOST_EVENT) {
            return Item.fault(413, "more than " + MOST_EVENT + " bytes");
        }
        CloudEvent event;
        try {
            event = reading.read();
        } catch (RuntimeException e) { // the SDK's faults share no narrower type
            return Item.fault(400, firstLine(e));
        }
        String source = event.getSource().toString(), fault = EventValidator.fault(event);
        return fault.isEmpty()
                ? message(event, source, event.getId(), ruled)
                : new Item(source, event.getId(), null, 400, fault);
    }

    private static String firstLine(Exception e) {
        Throwable deepest = e;
        while (deepest.getCause() != null) {
            deepest = deepest.getCause();
        }
        return String.valueOf(deepest.getMessage()).lines().findFirst().orElse("malformed");
    }

    private Item message(CloudEvent event, String source, String id, boolean ruled) {
        int cls = classes.indexOf(event.getType());
        if (cls < 0 && !ruled) {
            return new Item(source, id, null, 400, "type '" + event.getType() + "' is no class of message");
        }
        String destination = extension(event, "destination");
        if (!DESTINATION.matcher(destination).matches() && !(ruled && destination.isEmpty())) {
            return new Item(source, id, null, 400, "destination is missing or no number");
        }
        long deadline =
                clock.now() + (cls < 0 ? longest() : settings.classes().get(cls).deadlineNs());
        String told = extension(event, "deadline");
        if (!told.isEmpty()) {
            try {
                deadline = Math.min(
                        deadline,
                        clock.fromWall(OffsetDateTime.parse(told).toInstant().toEpochMilli()));
            } catch (DateTimeException | ArithmeticException e) {
                return new Item(source, id, null, 400, "deadline is no RFC 3339 time");
            }
        }
        byte[] body;
        try {
            body = encode(event);
        } catch (CloudEventRWException | IllegalStateException e) {
            return new Item(source, id, null, 400, firstLine(e));
        }
        if (body.length > MOST_EVENT) {
            return new Item(source, id, null, 413, "more than " + MOST_EVENT + " bytes");
        }
        String identity = identity(source, id);
        return new Item(
                source,
                id,
                new ActiveRequest.Message(
                        identity,
                        EventFrontend.NUMBER,
                        cls,
                        tenants.indexOf(extension(event, "tenant")),
                        destination.isEmpty() ? -1 : Long.parseLong(destination),
                        deadline,
                        clock.now() + rememberNs,
                        false,
                        false,
                        identity,
                        body),
                0,
                "",
                event);
    }

    private long longest() {
        return settings.classes().stream()
                .mapToLong(RequestClass::deadlineNs)
                .max()
                .orElse(0);
    }

    private static String extension(CloudEvent event, String name) {
        Object value = event.getExtension(name);
        return value == null ? "" : value.toString();
    }

    /** A message's id for an event's identity: the parts can't run into each other, nor into an X-Txn. */
    static String identity(String source, String id) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((source.length() + ":" + source + id).getBytes(StandardCharsets.UTF_8));
            return "ce/" + HexFormat.of().formatHex(sha.digest(), 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] encode(CloudEvent event) {
        Map<String, String> headers = new LinkedHashMap<>();
        byte[][] payload = {new byte[0]};
        HttpMessageFactory.createWriter(headers::put, bytes -> payload[0] = bytes == null ? new byte[0] : bytes)
                .writeBinary(event);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeShort(headers.size());
            for (Map.Entry<String, String> h : headers.entrySet()) {
                out.writeUTF(h.getKey());
                out.writeUTF(attribute(h.getKey()) ? AttributeHeaderCodec.encode(h.getValue()) : h.getValue());
            }
            out.write(payload[0]);
        } catch (IOException e) {
            throw new IllegalStateException("an attribute is too long");
        }
        return bytes.toByteArray();
    }

    private static boolean attribute(String header) {
        return header.regionMatches(true, 0, "ce-", 0, 3);
    }

    static Outgoing outgoing(byte[] body) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
            Map<String, String> headers = new LinkedHashMap<>();
            for (int left = in.readShort(); left > 0; left--) {
                headers.put(in.readUTF(), in.readUTF());
            }
            return new Outgoing(headers, in.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
