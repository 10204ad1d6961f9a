package elderseam.frontend.cloudevents;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
    private static final String JSON =
            "{\"specversion\":\"1.0\",\"type\":\"pay\",\"source\":\"/a\",\"id\":\"1\",\"destination\":\"1\"%s}";
    private final EventCodec codec = new EventCodec(
            new Clock(),
            new SettingsMap(Map.of(
                    "extra.callSlots",
                    "4",
                    "limits.mostHeld",
                    "64",
                    "limits.maxAttempts",
                    "3",
                    "services.count",
                    "1",
                    "services.0.name",
                    "pay",
                    "services.0.effect",
                    "once",
                    "services.0.targetNs",
                    "2000000000",
                    "services.0.giveUpNs",
                    "9000000000")),
            1);

    /** Headers apart by newlines over a good event; an empty value takes one away. */
    private EventCodec.Item binary(String changes) {
        HeaderMap headers = new HeaderMap();
        for (String line :
                "ce-specversion: 1.0\nce-type: pay\nce-source: /a\nce-id: 1\nce-destination: 1".split("\n")) {
            headers.put(new HttpString(line.split(": ")[0]), line.split(": ")[1]);
        }
        for (String line : changes.isEmpty() ? new String[0] : changes.split("\n")) {
            HttpString name =
                    new HttpString(line.substring(0, line.indexOf(':')).replace("+", ""));
            String value = line.substring(line.indexOf(':') + 1).strip();
            if (value.equals("-")) {
                headers.remove(name);
            } else if (line.startsWith("+")) {
                headers.add(name, value);
            } else {
                headers.put(name, value);
            }
        }
        return codec.decode(new Request("POST", "/events", headers, new byte[0]))
                .items()
                .get(0);
    }

    private EventCodec.Decoded json(String type, String body) {
        HeaderMap headers = new HeaderMap();
        headers.put(new HttpString("Content-Type"), type);
        return codec.decode(new Request("POST", "/events", headers, body.getBytes(StandardCharsets.UTF_8)));
    }

    private EventCodec.Item structured(String more) {
        return json("application/cloudevents+json; charset=utf-8", JSON.formatted(more))
                .items()
                .get(0);
    }

    private static Map<String, String> out(EventCodec.Item item) {
        assertEquals("", item.fault());
        return EventCodec.outgoing(item.message().body()).headers();
    }

    private static void refused(EventCodec.Item item, String why) {
        assertEquals(400, item.code(), item.fault());
        assertTrue(item.fault().contains(why), item.fault());
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
                "ce-source: %25%25|URI"
            })
    void whatBinaryModeMustRefuse(String change, String why) {
        EventCodec.Item item = binary(change);
        assertEquals(400, item.code(), item.fault());
        if (!why.equals("URI")) {
            refused(item, why);
        }
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
    void whatStructuredModeMustRefuse(String more, String why) {
        refused(structured(more), why);
    }

    /** What must be taken, and leaves as it must. */
    @Test
    void whatMustBeTaken() {
        assertEquals(
                "Euro %E2%82%AC %F0%9F%98%80".replace(" ", "%20"),
                out(binary("ce-subject: Euro%20%E2%82%AC%20%F0%9F%98%80")).get("ce-subject"));
        assertEquals("a", out(binary("ce-subject: %61")).get("ce-subject"), "needlessly encoded");
        assertEquals(
                "say%20%22hi%22%5C".replace("%5C", "\\"),
                out(binary("ce-subject: \"say \\\"hi\\\"\\\\\"")).get("ce-subject"));
        assertEquals("100%25", out(structured(",\"subject\":\"100%\"")).get("ce-subject"));
        assertEquals(
                "Miete%20f%C3%BCr%20Mai",
                out(structured(",\"subject\":\"Miete für Mai\"")).get("ce-subject"));
        assertEquals(
                "%F0%9F%98%80", out(structured(",\"x\":\"\\ud83d\\ude00\"")).get("ce-x"), "one character, four octets");
        assertEquals("true", out(structured(",\"x\":true")).get("ce-x"));
        assertEquals("-7", out(structured(",\"x\":-7")).get("ce-x"));
        assertEquals(null, out(structured(",\"x\":null")).get("ce-x"), "null: not set");
        assertEquals("/a", out(binary("ce-subject: x\nCE-Other: y")).get("ce-source"), "names in any case");
        assertEquals(
                "text/plain; charset=utf-8",
                out(binary("Content-Type: text/plain; charset=utf-8")).get("Content-Type"));
    }

    /** An empty batch is one; a batch of what are no events says so of each; two structured events are no batch. */
    @Test
    void batches() {
        String type = "application/cloudevents-batch+json";
        assertEquals(List.of(), json(type, "[]").items());
        EventCodec.Decoded mixed = json(type, "[" + JSON.formatted("") + ",7," + JSON.formatted(",\"id\":\"\"") + "]");
        assertEquals(
                List.of(0, 400, 400),
                mixed.items().stream().map(EventCodec.Item::code).toList());
        assertEquals(400, json(type, JSON.formatted("")).items().get(0).code());
        assertEquals(
                400,
                json("application/cloudevents+json", "[" + JSON.formatted("") + "]")
                        .items()
                        .get(0)
                        .code());
        assertEquals(
                415, json("application/cloudevents+avro", "x").items().get(0).code());
    }

    /** There and back for whatever an attribute may hold, in printable ASCII without spaces, quotes or lone percents. */
    @Test
    void headersCarryWhateverAnAttributeMayHold() {
        Random random = new Random(7);
        for (int i = 0; i < 20_000; i++) {
            String value = random.ints(random.nextInt(20), 0, i % 2 == 0 ? 0x250 : 0x110000)
                    .filter(c ->
                            AttributeHeaderCodec.illegal(Character.toString(c)).isEmpty())
                    .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                    .toString();
            String header = AttributeHeaderCodec.encode(value);
            assertTrue(header.matches("([!#$&-~]|%[0-9A-F]{2})*"), header);
            assertEquals(value, AttributeHeaderCodec.decode(header));
        }
        for (int c = 0x21; c < 0x7f; c++) {
            String s = Character.toString(c);
            assertEquals(
                    c == '"' || c == '%' ? "%" + Integer.toHexString(c) : s,
                    AttributeHeaderCodec.encode(s),
                    "exactly these leave encoded");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\u00e9", "a\u0001b", "\"a\\\"", "%E2%82", "%u20ac"})
    void whatIsNoHeaderTextIsRefused(String header) {
        assertThrows(IllegalArgumentException.class, () -> AttributeHeaderCodec.decode(header));
    }

    /** Web hooks 1.0.2, section 4: off, then by name, then for all; a rate is told where one was asked for, never above the bound. */
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
    void theHandshake(String origins, int rate, String origin, String asked, int code, String allowed, String granted) {
        HeaderMap headers = new HeaderMap();
        if (origin != null) {
            headers.put(new HttpString("WebHook-Request-Origin"), origin);
        }
        if (asked != null) {
            headers.put(new HttpString("WebHook-Request-Rate"), asked);
        }
        WebHookHandshake.Reply reply = new WebHookHandshake(
                        origins.isEmpty() ? List.of() : List.of(origins.split(" ")), rate)
                .answer(new Request("OPTIONS", "/events", headers, new byte[0]));
        assertEquals(code, reply.code());
        assertEquals(allowed, reply.headers().get("WebHook-Allowed-Origin"));
        assertEquals(granted, reply.headers().get("WebHook-Allowed-Rate"));
        assertEquals(
                origins.isEmpty() ? "POST" : "POST, OPTIONS", reply.headers().get("Allow"));
    }
}
