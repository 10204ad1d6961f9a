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
 * An immutable JSON value: an object, a list, a scalar as text, or an absent value. Parsed with jackson-core only,
 * because the tree model of databind would load four hundred more classes before the first message (docs/recovery.md
 * has the figures). The nesting depth is limited to {@value #MAX_DEPTH}. Thread-safe.
 */
public final class JsonValue {
    private static final int MAX_DEPTH = 64;
    private static final JsonValue ABSENT = new JsonValue(null);
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build();

    /** A {@code Map<String, JsonValue>}, a {@code List<JsonValue>}, a {@code String}, or null for an absent value. */
    private final Object value;

    private JsonValue(Object value) {
        this.value = value;
    }

    /**
     * Parses one value, which only white space may follow.
     *
     * @throws IOException if the bytes are not exactly one JSON value; the message of a syntax error has line and
     *     column
     */
    public static JsonValue read(byte[] bytes) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() == null) {
                throw new IOException("no JSON value in the input");
            }
            JsonValue value = readValue(parser);
            if (parser.nextToken() != null) {
                throw new IOException("unexpected content after the JSON value");
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

    /** Returns whether this is an object. */
    public boolean isObject() {
        return value instanceof Map;
    }

    /** Returns whether this is a list. */
    public boolean isList() {
        return value instanceof List;
    }

    /** Returns whether there is a value other than null. */
    public boolean isPresent() {
        return value != null;
    }

    /** Returns a field of an object, or an absent value if there is no such field. */
    public JsonValue get(String name) {
        return fields().getOrDefault(name, ABSENT);
    }

    /** Returns the fields of an object in their order; empty if this is not an object. */
    @SuppressWarnings("unchecked") // a map is only ever built by readObject
    public Map<String, JsonValue> fields() {
        return value instanceof Map ? (Map<String, JsonValue>) value : Map.of();
    }

    /** Returns the items of a list; empty if this is not a list. */
    @SuppressWarnings("unchecked") // a list is only ever built by readList
    public List<JsonValue> items() {
        return value instanceof List ? (List<JsonValue>) value : List.of();
    }

    /** Returns the text of a scalar, or the default if this is not a scalar. */
    public String asText(String defaultValue) {
        return value instanceof String text ? text : defaultValue;
    }

    /** Returns a number, or the default if this is not a number. */
    public double asDouble(double defaultValue) {
        try {
            return value instanceof String text ? Double.parseDouble(text) : defaultValue;
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** Returns a number without its fraction, or the default if this is not a number. */
    public long asLong(long defaultValue) {
        try {
            return value instanceof String text ? Long.parseLong(text) : defaultValue;
        } catch (NumberFormatException e) {
            return (long) asDouble((double) defaultValue);
        }
    }

    /** Returns whether this is {@code true}. */
    public boolean asBoolean() {
        return "true".equals(value);
    }

    /** Returns a text as a JSON string, including the quotes. */
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
