package elderseam.frontend.cloudevents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.Clock;
import elderseam.core.SettingsMap;
import elderseam.http.HttpServer.Request;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The demands of CloudEvents 1.0.2 on a receiver and sender, by the list of docs/cloudevents.md. */
class CloudEventsSpecificationTest {
    private static final String BATCH_FORMAT = "application/cloudevents-batch+json";
    private static final String EVENT_FORMAT = "application/cloudevents+json";

    /** A valid event in the JSON format, with a place for further members. */
    private static final String EVENT_JSON =
            "{\"specversion\":\"1.0\",\"type\":\"pay\",\"source\":\"/a\",\"id\":\"1\",\"destination\":\"1\"%s}";

    /** The headers of a valid event in binary mode. */
    private static final Map<String, String> EVENT_HEADERS = Map.of(
            "ce-specversion", "1.0",
            "ce-type", "pay",
            "ce-source", "/a",
            "ce-id", "1",
            "ce-destination", "1");

    private static final SettingsMap SETTINGS = new SettingsMap(Map.of(
            "extra.callSlots", "4",
            "limits.mostHeld", "64",
            "limits.maxAttempts", "3",
            "services.count", "1",
            "services.0.name", "pay",
            "services.0.effect", "once",
            "services.0.targetNs", "2000000000",
            "services.0.giveUpNs", "9000000000"));

    private final EventDecoder decoder = new EventDecoder(new Clock(), SETTINGS, 1);

    /**
     * Decodes a valid event in binary mode with changes to its headers, separated by newlines: {@code name: value} sets
     * a header, {@code +name: value} adds a value to it and {@code name:-} removes it.
     */
    private DecodedEvent decodeBinary(String changes) {
        HeaderMap headers = new HeaderMap();
        EVENT_HEADERS.forEach((name, value) -> headers.put(new HttpString(name), value));
        changes.lines().forEach(change -> applyTo(headers, change));
        Request request = new Request("POST", "/events", headers, new byte[0]);
        return decoder.decode(request, false).events().get(0);
    }

    private static void applyTo(HeaderMap headers, String change) {
        int colon = change.indexOf(':');
        HttpString name = new HttpString(change.substring(0, colon).replace("+", ""));
        String value = change.substring(colon + 1).strip();
        if (value.equals("-")) {
            headers.remove(name);
        } else if (change.startsWith("+")) {
            headers.add(name, value);
        } else {
            headers.put(name, value);
        }
    }

    private DecodedRequest decode(String contentType, String body) {
        HeaderMap headers = new HeaderMap().put(new HttpString("Content-Type"), contentType);
        Request request = new Request("POST", "/events", headers, body.getBytes(StandardCharsets.UTF_8));
        return decoder.decode(request, false);
    }

    /** Decodes a valid event in structured mode, with further members. */
    private DecodedEvent decodeStructured(String members) {
        return decode(EVENT_FORMAT + "; charset=utf-8", EVENT_JSON.formatted(members))
                .events()
                .get(0);
    }

    /** The headers with which an event leaves. */
    private static Map<String, String> outgoingHeaders(DecodedEvent event) {
        DecodedEvent.Valid valid = assertInstanceOf(DecodedEvent.Valid.class, event);
        return EventCodec.decode(valid.message().body()).headers();
    }

    private static DecodedEvent.Invalid assertInvalid(int status, DecodedEvent event) {
        DecodedEvent.Invalid invalid = assertInstanceOf(DecodedEvent.Invalid.class, event);
        assertEquals(status, invalid.status(), invalid.reason());
        return invalid;
    }

    private static void assertMalformed(DecodedEvent event, String reason) {
        DecodedEvent.Invalid invalid = assertInvalid(400, event);
        assertTrue(invalid.reason().contains(reason), invalid.reason());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "ce-specversion:-|specversion",
                "ce-specversion: 0.9|0.9",
                "ce-id:-|id",
                "ce-source:-|source",
                "ce-type:-|type",
                "ce-id: \"\"|id is empty",
                "ce-source: \"\"|source is empty",
                "ce-type: \"\"|type is empty",
                "ce-subject: \"\"|subject is empty",
                "ce-time: yesterday|yesterday",
                "ce-dataschema: rel/ative|no absolute URI",
                "ce-datacontenttype: text/plain|Content-Type tells it",
                "Content-Type: nothing|no media type",
                "+ce-id: 2|more than once",
                "ce-my_name: x|no name",
                "ce-subject: %C0%A0|no UTF-8",
                "ce-subject: %ED%A0%80|no UTF-8",
                "ce-subject: %0D%0AX-Evil: 1|U+000D",
                "ce-subject: a%7F|U+007F",
                "ce-subject: %EF%BF%BE|noncharacter",
                "ce-subject: 100%|begins no",
                "ce-subject: %2|begins no",
                "ce-subject: %zz|begins no",
                "ce-id: %00|U+0000",
                "ce-source: %25%25|Malformed escape"
            })
    void binaryModeRejects(String change, String reason) {
        assertMalformed(decodeBinary(change), reason);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                ",\"id\":\"\"|id is empty",
                ",\"subject\":\"\"|subject is empty",
                ",\"source\":\"\"|source is empty",
                ",\"specversion\":1.0|neither",
                ",\"Upper\":\"x\"|has a name",
                ",\"a-b\":\"x\"|has a name",
                ",\"x\":{}|neither",
                ",\"x\":[1]|neither",
                ",\"x\":1.5|neither",
                ",\"x\":4294967296|neither",
                ",\"subject\":5|no string",
                ",\"data\":1,\"data_base64\":\"AA==\"|exclude",
                ",\"data_base64\":7|no string",
                ",\"x\":\"a\\u0000b\"|control",
                ",\"x\":\"\\ud800\"|surrogate",
                ",\"x\":\"\\uffff\"|noncharacter",
                ",\"dataschema\":\"a\"|absolute"
            })
    void structuredModeRejects(String members, String reason) {
        assertMalformed(decodeStructured(members), reason);
    }

    @Test
    void attributesLeavePercentEncoded() {
        assertEquals(
                "Euro%20%E2%82%AC%20%F0%9F%98%80",
                outgoingHeaders(decodeBinary("ce-subject: Euro%20%E2%82%AC%20%F0%9F%98%80"))
                        .get("ce-subject"));
        assertEquals("a", outgoingHeaders(decodeBinary("ce-subject: %61")).get("ce-subject"), "needlessly encoded");
        assertEquals(
                "say%20%22hi%22\\",
                outgoingHeaders(decodeBinary("ce-subject: \"say \\\"hi\\\"\\\\\""))
                        .get("ce-subject"));
        assertEquals(
                "100%25",
                outgoingHeaders(decodeStructured(",\"subject\":\"100%\"")).get("ce-subject"));
        assertEquals(
                "Miete%20f%C3%BCr%20Mai",
                outgoingHeaders(decodeStructured(",\"subject\":\"Miete für Mai\""))
                        .get("ce-subject"));
        assertEquals(
                "%F0%9F%98%80",
                outgoingHeaders(decodeStructured(",\"x\":\"\\ud83d\\ude00\"")).get("ce-x"),
                "one character, four octets");
    }

    @Test
    void extensionsLeaveInCanonicalText() {
        assertEquals("true", outgoingHeaders(decodeStructured(",\"x\":true")).get("ce-x"));
        assertEquals("-7", outgoingHeaders(decodeStructured(",\"x\":-7")).get("ce-x"));
        assertNull(outgoingHeaders(decodeStructured(",\"x\":null")).get("ce-x"), "null: not set");
    }

    @Test
    void headersAreReadInAnyCaseAndTheContentTypeAsItIs() {
        assertEquals(
                "/a",
                outgoingHeaders(decodeBinary("ce-subject: x\nCE-Other: y")).get("ce-source"));
        assertEquals(
                "text/plain; charset=utf-8",
                outgoingHeaders(decodeBinary("Content-Type: text/plain; charset=utf-8"))
                        .get("Content-Type"));
    }

    @Test
    void aBatchHasAResultForEachEvent() {
        assertEquals(new DecodedRequest(true, List.of()), decode(BATCH_FORMAT, "[]"));
        String valid = EVENT_JSON.formatted("");
        String withEmptyId = EVENT_JSON.formatted(",\"id\":\"\"");
        DecodedRequest mixed = decode(BATCH_FORMAT, "[" + valid + ",7," + withEmptyId + "]");
        assertEquals(3, mixed.events().size());
        assertInstanceOf(DecodedEvent.Valid.class, mixed.events().get(0));
        assertInvalid(400, mixed.events().get(1));
        assertInvalid(400, mixed.events().get(2));
    }

    @Test
    void theContentTypeMustSayWhatTheBodyIs() {
        String valid = EVENT_JSON.formatted("");
        assertInvalid(400, decode(BATCH_FORMAT, valid).events().get(0));
        assertInvalid(400, decode(EVENT_FORMAT, "[" + valid + "]").events().get(0));
        assertInvalid(415, decode("application/cloudevents+avro", "x").events().get(0));
        assertInvalid(415, decode(";", "x").events().get(0));
        assertInvalid(415, decode(";;charset=utf-8", "x").events().get(0));
    }

    /** Any value survives encoding and decoding; its header is printable ASCII without spaces, quotes or lone percents. */
    @Test
    void headersCarryWhateverAnAttributeMayHold() throws InvalidEventException {
        Random random = new Random(7);
        for (int i = 0; i < 20_000; i++) {
            String value = randomValue(random, i % 2 == 0 ? 0x250 : 0x110000);
            String header = AttributeHeaderCodec.encode(value);
            assertTrue(header.matches("([!#$&-~]|%[0-9A-F]{2})*"), header);
            assertEquals(value, AttributeHeaderCodec.decode(header));
        }
    }

    /** A value of legal characters below the bound. */
    private static String randomValue(Random random, int codePointBound) {
        return random.ints(random.nextInt(20), 0, codePointBound)
                .filter(codePoint -> AttributeHeaderCodec.illegalCharacter(Character.toString(codePoint))
                        .isEmpty())
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    }

    @Test
    void ofPrintableCharactersOnlyQuoteAndPercentLeaveEncoded() {
        for (int character = 0x21; character < 0x7f; character++) {
            String text = Character.toString(character);
            boolean isEncoded = character == '"' || character == '%';
            String expected = isEncoded ? "%" + Integer.toHexString(character) : text;
            assertEquals(expected, AttributeHeaderCodec.encode(text));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\u00e9", "a\u0001b", "\"a\\\"", "%E2%82", "%u20ac"})
    void otherHeaderTextIsRejected(String header) {
        assertThrows(InvalidEventException.class, () -> AttributeHeaderCodec.decode(header));
    }

    /** Web hooks 1.0.2, section 4: a rate is granted where one was asked for or is set, never above the bound. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                "''|0|a.example|10|405|-|-",
                "a.example|0|-|-|400|-|-",
                "a.example|0|b.example|10|403|-|-",
                "a.example|0|A.Example|10|200|A.Example|*",
                "a.example|0|a.example|-|200|a.example|-",
                "a.example b.example|60|b.example|100|200|b.example|60",
                "*|60|c.example|10|200|*|10",
                "*|60|c.example|*|200|*|60",
                "*|60|c.example|-|200|*|60",
                "*|0|c.example|-5|400|-|-",
                "*|0|c.example|x|400|-|-"
            })
    void theHandshake(
            String allowedOrigins,
            int ratePerMinute,
            String origin,
            String requestedRate,
            int code,
            String allowedOrigin,
            String grantedRate) {
        List<String> origins = allowedOrigins.isEmpty() ? List.of() : List.of(allowedOrigins.split(" "));
        HeaderMap headers = new HeaderMap();
        if (origin != null) {
            headers.put(new HttpString("WebHook-Request-Origin"), origin);
        }
        if (requestedRate != null) {
            headers.put(new HttpString("WebHook-Request-Rate"), requestedRate);
        }
        Request request = new Request("OPTIONS", "/events", headers, new byte[0]);
        WebHookHandshake.Reply reply = new WebHookHandshake(origins, ratePerMinute).answer(request);
        assertEquals(code, reply.code());
        assertEquals(allowedOrigin, reply.headers().get("WebHook-Allowed-Origin"));
        assertEquals(grantedRate, reply.headers().get("WebHook-Allowed-Rate"));
        assertEquals(
                origins.isEmpty() ? "POST" : "POST, OPTIONS", reply.headers().get("Allow"));
    }
}
