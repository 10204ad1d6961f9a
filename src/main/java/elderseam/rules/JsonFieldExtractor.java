package elderseam.rules;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import elderseam.rules.cel.EvaluationError;
import elderseam.rules.cel.NullValue;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Extracts the fields that rules read from a JSON body in one streaming pass; nothing else of the body is kept. The
 * pass always covers the whole body: if that is no JSON object, is nested too deep, or has a name twice in one object
 * (of which RFC 8259, section 4, leaves the meaning open), each field is an error. Whole numbers of 64 bits are longs,
 * all others doubles. Not thread-safe.
 */
final class JsonFieldExtractor {
    private static final EvaluationError NOT_JSON = new EvaluationError("a body that is no JSON object");
    private static final EvaluationError BODY_TOO_LARGE = new EvaluationError("a body above body_bytes");
    private static final EvaluationError FIELD_TOO_LARGE =
            new EvaluationError("a field above field_chars or list_items");
    private static final EvaluationError TOO_DEEP = new EvaluationError("a body nested above body_depth");
    private static final EvaluationError DUPLICATE_NAME =
            new EvaluationError("a body that tells a name twice in one object");
    private static final int MAX_NUMBER_CHARS = 64;

    /** A node of the tree of field paths. */
    private static final class PathNode {
        private static final int NO_FIELD = -1;

        final Map<String, PathNode> children = new HashMap<>();
        int field = NO_FIELD; // number of the field whose path ends here

        boolean isField() {
            return field != NO_FIELD;
        }
    }

    private final RuleLimits limits;
    private final JsonFactory json;
    private final PathNode root = new PathNode();
    private final Object[] values; // by number of the field
    private int itemCount; // in all lists and maps of the field that is being read

    /** {@code paths}: of the fields; a field's number is its path's index. */
    JsonFieldExtractor(RuleLimits limits, List<List<String>> paths) {
        this.limits = limits;
        this.values = new Object[paths.size()];
        this.json = JsonFactory.builder()
                .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(limits.maxBodyDepth())
                        .maxNumberLength(MAX_NUMBER_CHARS)
                        .maxStringLength(limits.maxBodyBytes())
                        .maxNameLength(limits.maxBodyBytes())
                        .build())
                .build();
        for (int i = 0; i < paths.size(); i++) {
            PathNode node = root;
            for (String name : paths.get(i)) {
                node = node.children.computeIfAbsent(name, absent -> new PathNode());
            }
            node.field = i;
        }
    }

    /**
     * Returns the values by number of the field: null where the body has no such field, an {@link EvaluationError}
     * where it can't be read. The array is valid until the next call.
     */
    Object[] extract(byte[] body) {
        Arrays.fill(values, null);
        EvaluationError error = parse(body);
        if (error != null) {
            Arrays.fill(values, error);
        }
        return values;
    }

    /** Reads the fields; returns what is wrong with the body as a whole, or null. */
    private EvaluationError parse(byte[] body) {
        if (body.length > limits.maxBodyBytes()) {
            return BODY_TOO_LARGE;
        }
        try (JsonParser parser = json.createParser(body)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return NOT_JSON;
            }
            readObject(parser, root);
            return parser.nextToken() == null ? null : NOT_JSON;
        } catch (IOException e) {
            return toError(e);
        }
    }

    /** Jackson tells these two only by their messages. */
    private static EvaluationError toError(IOException e) {
        String message = e.getMessage();
        if (e instanceof StreamConstraintsException && message.contains("nesting")) {
            return TOO_DEEP;
        }
        return message != null && message.startsWith("Duplicate field") ? DUPLICATE_NAME : NOT_JSON;
    }

    /** Reads the fields below a node from an object whose start was read. */
    private void readObject(JsonParser parser, PathNode node) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            PathNode child = node.children.get(parser.currentName());
            parser.nextToken();
            if (child == null) {
                parser.skipChildren(); // counts the nesting without recursion
            } else if (child.isField()) {
                readField(parser, child);
            } else if (parser.currentToken() == JsonToken.START_OBJECT) {
                readObject(parser, child);
            } else {
                parser.skipChildren();
            }
        }
    }

    private void readField(JsonParser parser, PathNode node) throws IOException {
        itemCount = 0;
        Object value = readValue(parser);
        values[node.field] = value == null ? FIELD_TOO_LARGE : value;
        setInnerFields(node, value);
    }

    /** Sets the fields that lie inside a field; {@code value}: of the outer one, null where it is too large. */
    private void setInnerFields(PathNode node, Object value) {
        node.children.forEach((name, child) -> {
            Object inner;
            if (value instanceof Map<?, ?> map) {
                inner = map.get(name);
            } else {
                inner = value == null ? FIELD_TOO_LARGE : null;
            }
            if (inner != null && child.isField()) {
                values[child.field] = inner;
            }
            setInnerFields(child, inner);
        });
    }

    /** Reads one value to its end; null where it is too large. The parser bounds the recursion. */
    private Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case VALUE_STRING -> parser.getTextLength() > limits.maxFieldChars() ? null : parser.getText();
            case VALUE_NUMBER_INT -> readWholeNumber(parser);
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case START_OBJECT -> readMap(parser);
            case START_ARRAY -> readList(parser);
            default -> NullValue.NULL;
        };
    }

    private static Object readWholeNumber(JsonParser parser) throws IOException {
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            return parser.getDoubleValue();
        }
        return parser.getLongValue();
    }

    /** Reads a map to its end; null where it is too large. */
    private Object readMap(JsonParser parser) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        boolean fits = true;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            Object value = readOrSkip(parser, fits);
            fits &= value != null && countItem() && name.length() <= limits.maxFieldChars();
            if (fits) {
                map.put(name, value);
            }
        }
        return fits ? map : null;
    }

    /** Reads a list to its end; null where it is too large. */
    private Object readList(JsonParser parser) throws IOException {
        List<Object> list = new ArrayList<>();
        boolean fits = true;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Object value = readOrSkip(parser, fits);
            fits &= value != null && countItem();
            if (fits) {
                list.add(value);
            }
        }
        return fits ? list : null;
    }

    private Object readOrSkip(JsonParser parser, boolean read) throws IOException {
        if (read) {
            return readValue(parser);
        }
        parser.skipChildren();
        return null;
    }

    /** Counts an item of the field; false where that is too many. */
    private boolean countItem() {
        itemCount++;
        return itemCount <= limits.maxListItems();
    }
}
