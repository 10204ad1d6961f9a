package elderseam.core;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * An immutable JSON value: an object, a list, a scalar by its text, or absent. Read with jackson-core alone, since
 * databind's tree would load four hundred classes more before the first message (docs/recovery.md has the figures).
 * Nesting is bounded to {@value #MAX_DEPTH}. Thread-safe.
 */
public final class JsonValue {
    private static final int MAX_DEPTH = 64;
    private static final JsonValue ABSENT = new JsonValue(null);
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build();

    /** A {@code Map<String, JsonValue>}, a {@code List<JsonValue>}, a {@code String}, or null where absent. */
    private final Object value;

    private JsonValue(Object value) {
        this.value = value;
    }

    /**
     * Reads one value; only white space may follow it.
     *
     * @throws IOException with line and column, where the bytes are no JSON value
     */
    public static JsonValue read(byte[] bytes) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() == null) {
                throw new IOException("no JSON value at all");
            }
            JsonValue value = readValue(parser);
            if (parser.nextToken() != null) {
                throw new IOException("more than one JSON value");
            }
            return value;
        }
    }

    private static JsonValue readValue(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return readObject(parser);
        }
        if (token == JsonToken.START_ARRAY) {
            return readList(parser);
        }
        return token == JsonToken.VALUE_NULL ? ABSENT : new JsonValue(parser.getText());
    }

    private static JsonValue readObject(JsonParser parser) throws IOException {
        Map<String, JsonValue> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, readValue(parser));
        }
        return new JsonValue(fields);
    }

    private static JsonValue readList(JsonParser parser) throws IOException {
        List<JsonValue> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(readValue(parser));
        }
        return new JsonValue(items);
    }

    /** Whether it is an object. */
    public boolean isObject() {
        return value instanceof Map;
    }

    /** Whether it is a list. */
    public boolean isList() {
        return value instanceof List;
    }

    /** Whether there is a value other than null. */
    public boolean isPresent() {
        return value != null;
    }

    /** A field of an object; absent where there is none. */
    public JsonValue get(String name) {
        return fields().getOrDefault(name, ABSENT);
    }

    /** The fields of an object in their order; otherwise empty. */
    @SuppressWarnings("unchecked") // a map is only ever built by readObject
    public Map<String, JsonValue> fields() {
        return value instanceof Map ? (Map<String, JsonValue>) value : Map.of();
    }

    /** The items of a list; otherwise empty. */
    @SuppressWarnings("unchecked") // a list is only ever built by readList
    public List<JsonValue> items() {
        return value instanceof List ? (List<JsonValue>) value : List.of();
    }

    /** A scalar as written. */
    public String asText(String absent) {
        return value instanceof String text ? text : absent;
    }

    /** A number; anything else counts as absent. */
    public double asDouble(double absent) {
        try {
            return value instanceof String text ? Double.parseDouble(text) : absent;
        } catch (NumberFormatException e) {
            return absent;
        }
    }

    /** A number, its fraction cut off; anything else counts as absent. */
    public long asLong(long absent) {
        try {
            return value instanceof String text ? Long.parseLong(text) : absent;
        } catch (NumberFormatException e) {
            return (long) asDouble((double) absent);
        }
    }

    /** Whether it is {@code true}. */
    public boolean asBoolean() {
        return "true".equals(value);
    }

    /** A text as a JSON string, with its quotes. */
    public static String quote(String text) {
        StringBuilder json = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                json.append('\\').append(c);
            } else if (c < ' ') {
                json.append(String.format(Locale.ROOT, "\\u%04x", (int) c));
            } else {
                json.append(c);
            }
        }
        return json.append('"').toString();
    }
}
