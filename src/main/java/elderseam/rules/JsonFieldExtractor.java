package elderseam.rules;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
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
 * Picks the fields that rules name out of a JSON body as it streams by; nothing else of it is kept. All of it is read, so that what is
 * no JSON, is nested too deep, or tells a name twice in one object (RFC 8259, section 4: what that means is anybody's guess) is an
 * error for each of its fields. Whole numbers of 64 bits are ints, all others doubles.
 */
final class JsonFieldExtractor {
    private static final EvaluationError NOT_JSON = new EvaluationError("a body that is no JSON object"),
            TOO_LARGE = new EvaluationError("a body above body_bytes"),
            TOO_LONG = new EvaluationError("a field above field_chars or list_items"),
            TOO_DEEP = new EvaluationError("a body nested above body_depth"),
            TWICE = new EvaluationError("a body that tells a name twice in one object");

    /** The names below one, and which field ends there. */
    private static final class Node {
        final Map<String, Node> below = new HashMap<>();
        int field = -1;
    }

    private final RuleLimits extent;
    private final JsonFactory json;
    private final Node root = new Node();
    private final Object[] values;
    private int items; // of the field that is read, in all its lists and maps

    /** {@code fields}: the paths, whose place in the list is the number of the field. */
    JsonFieldExtractor(RuleLimits extent, List<List<String>> fields) {
        this.extent = extent;
        this.values = new Object[fields.size()];
        this.json = JsonFactory.builder()
                .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(extent.bodyDepth())
                        .maxNumberLength(64)
                        .maxStringLength(extent.bodyBytes())
                        .maxNameLength(extent.bodyBytes())
                        .build())
                .build();
        for (int i = 0; i < fields.size(); i++) {
            Node n = root;
            for (String name : fields.get(i)) {
                n = n.below.computeIfAbsent(name, x -> new Node());
            }
            n.field = i;
        }
    }

    /** The values by number; null for those that are not there. Good until the next call. */
    Object[] read(byte[] body) {
        Arrays.fill(values, null);
        EvaluationError fault = body.length > extent.bodyBytes() ? TOO_LARGE : null;
        try (JsonParser p = fault == null ? json.createParser(body) : null) {
            if (p != null) {
                fault = p.nextToken() == JsonToken.START_OBJECT ? null : NOT_JSON;
                if (fault == null) {
                    object(p, root);
                    fault = p.nextToken() == null ? null : NOT_JSON;
                }
            }
        } catch (IOException e) {
            fault = e instanceof com.fasterxml.jackson.core.exc.StreamConstraintsException
                            && e.getMessage().contains("nesting")
                    ? TOO_DEEP
                    : e.getMessage() != null && e.getMessage().startsWith("Duplicate field") ? TWICE : NOT_JSON;
        }
        if (fault != null) {
            Arrays.fill(values, fault);
        }
        return values;
    }

    private void object(JsonParser p, Node node) throws IOException {
        while (p.nextToken() != JsonToken.END_OBJECT) {
            Node below = node.below.get(p.currentName());
            p.nextToken();
            if (below == null) {
                p.skipChildren(); // deep ones are counted as they pass by, never by recursion
            } else if (below.field < 0) {
                inside(p, below);
            } else {
                items = 0;
                Object v = value(p);
                values[below.field] = v == null ? TOO_LONG : v;
                fields(below, v);
            }
        }
    }

    private void inside(JsonParser p, Node node) throws IOException {
        if (p.currentToken() == JsonToken.START_OBJECT) {
            object(p, node);
        } else {
            p.skipChildren();
        }
    }

    /** Fields of a field that is named whole too. */
    private void fields(Node node, Object v) {
        node.below.forEach((name, below) -> {
            Object inner = v instanceof Map<?, ?> m ? m.get(name) : v == null ? TOO_LONG : null;
            if (inner != null && below.field >= 0) {
                values[below.field] = inner;
            }
            fields(below, inner);
        });
    }

    /** A value, or null where it is longer than rules may have it; the parser stands at its end. Nesting is bounded by the parser. */
    private Object value(JsonParser p) throws IOException {
        switch (p.currentToken()) {
            case VALUE_STRING -> {
                return p.getTextLength() > extent.fieldChars() ? null : p.getText();
            }
            case VALUE_NUMBER_INT -> {
                return p.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) p.getDoubleValue()
                        : (Object) p.getLongValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return p.getDoubleValue();
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return p.currentToken() == JsonToken.VALUE_TRUE;
            }
            case START_OBJECT -> {
                return map(p);
            }
            case START_ARRAY -> {
                return list(p);
            }
            default -> {
                return NullValue.NULL;
            }
        }
    }

    private Object map(JsonParser p) throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        boolean fits = true;
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            p.nextToken();
            Object v = fits ? value(p) : skipped(p);
            fits &= v != null && ++items <= extent.listItems() && name.length() <= extent.fieldChars();
            if (fits) {
                all.put(name, v);
            }
        }
        return fits ? all : null;
    }

    private Object list(JsonParser p) throws IOException {
        List<Object> all = new ArrayList<>();
        boolean fits = true;
        while (p.nextToken() != JsonToken.END_ARRAY) {
            Object v = fits ? value(p) : skipped(p);
            fits &= v != null && ++items <= extent.listItems();
            if (fits) {
                all.add(v);
            }
        }
        return fits ? all : null;
    }

    private static Object skipped(JsonParser p) throws IOException {
        p.skipChildren();
        return null;
    }
}
