package elderseam.core;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON value as read, on jackson-core alone: an object, a list, or a plain value by its text. Databind's tree would
 * load four hundred classes more before the first message (docs/recovery.md has the figures). Nesting is bounded to
 * {@value #MOST_DEPTH}.
 */
public final class JsonValue {
    private static final int MOST_DEPTH = 64;
    private static final JsonValue ABSENT = new JsonValue(null);
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MOST_DEPTH).build())
            .build();

    private final Object value; // Map, List, String, or null

    private JsonValue(Object value) {
        this.value = value;
    }

    /** Reads one value; what follows it must be white space. Faults name line and column. */
    public static JsonValue read(byte[] bytes) throws IOException {
        try (JsonParser p = FACTORY.createParser(bytes)) {
            if (p.nextToken() == null) {
                throw new IOException("no JSON value at all");
            }
            JsonValue whole = value(p);
            if (p.nextToken() != null) {
                throw new IOException("more than one JSON value");
            }
            return whole;
        }
    }

    private static JsonValue value(JsonParser p) throws IOException {
        JsonToken t = p.currentToken();
        if (t == JsonToken.START_OBJECT) {
            Map<String, JsonValue> fields = new LinkedHashMap<>();
            while (p.nextToken() != JsonToken.END_OBJECT) {
                String name = p.currentName();
                p.nextToken();
                fields.put(name, value(p));
            }
            return new JsonValue(fields);
        }
        if (t == JsonToken.START_ARRAY) {
            List<JsonValue> items = new ArrayList<>();
            while (p.nextToken() != JsonToken.END_ARRAY) {
                items.add(value(p));
            }
            return new JsonValue(items);
        }
        return t == JsonToken.VALUE_NULL ? ABSENT : new JsonValue(p.getText());
    }

    public boolean isObject() {
        return value instanceof Map;
    }

    public boolean isList() {
        return value instanceof List;
    }

    /** Whether there is a value other than null. */
    public boolean told() {
        return value != null;
    }

    /** A field of an object; an absent one is a value that is not told. */
    public JsonValue at(String name) {
        return fields().getOrDefault(name, ABSENT);
    }

    @SuppressWarnings("unchecked")
    public Map<String, JsonValue> fields() {
        return value instanceof Map ? (Map<String, JsonValue>) value : Map.of();
    }

    @SuppressWarnings("unchecked")
    public List<JsonValue> items() {
        return value instanceof List ? (List<JsonValue>) value : List.of();
    }

    /** A plain value as written. */
    public String text(String absent) {
        return value instanceof String s ? s : absent;
    }

    /** A number; what is none counts as absent. */
    public double real(double absent) {
        try {
            return value instanceof String s ? Double.parseDouble(s) : absent;
        } catch (NumberFormatException e) {
            return absent;
        }
    }

    /** A whole number; a fraction is cut off. */
    public long whole(long absent) {
        try {
            return value instanceof String s ? Long.parseLong(s) : absent;
        } catch (NumberFormatException e) {
            return (long) real(absent);
        }
    }

    public boolean flag() {
        return "true".equals(value);
    }

    /** A text as JSON has it. */
    public static String quoted(String text) {
        StringBuilder all = new StringBuilder("\"");
        text.chars().forEach(c -> {
            if (c == '"' || c == '\\') {
                all.append('\\').append((char) c);
            } else if (c < ' ') {
                all.append(String.format("\\u%04x", c));
            } else {
                all.append((char) c);
            }
        });
        return all.append('"').toString();
    }
}
