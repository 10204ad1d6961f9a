package elderseam.frontend.cloudevents;

import com.fasterxml.jackson.databind.JsonNode;
import io.cloudevents.CloudEvent;
import java.net.URI;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * What CloudEvents 1.0.2 demands of an event and the SDK lets pass: core sections "Naming Conventions", "Type System" and
 * "Context Attributes", JSON format sections 2 and 3. docs/cloudevents.md lists each demand with its test.
 */
final class EventValidator {
    private static final Set<String> NOT_EXTENSIONS = Set.of("data", "data_base64");
    private static final Pattern NAME = Pattern.compile("[a-z0-9]+"), // once: each event meets them
            MEDIA_TYPE = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+/[!#$%&'*+.^_`|~0-9A-Za-z-]+ *(;[ -~]*)?");

    private EventValidator() {}

    /** What is wrong with an event that could be read, or nothing. */
    static String fault(CloudEvent event) {
        if (event.getId().isEmpty()) {
            return "id is empty";
        }
        if (event.getSource().toString().isEmpty()) {
            return "source is empty";
        }
        if (event.getType().isEmpty()) {
            return "type is empty";
        }
        if (event.getSubject() != null && event.getSubject().isEmpty()) {
            return "subject is empty";
        }
        URI schema = event.getDataSchema();
        if (schema != null && !schema.isAbsolute()) {
            return "dataschema is no absolute URI";
        }
        String type = event.getDataContentType();
        if (type != null && !MEDIA_TYPE.matcher(type).matches()) {
            return "datacontenttype is no media type";
        }
        for (String name : event.getAttributeNames()) {
            String fault = AttributeHeaderCodec.illegal(String.valueOf(event.getAttribute(name)));
            if (!fault.isEmpty()) {
                return name + " holds " + fault;
            }
        }
        for (String name : event.getExtensionNames()) {
            String fault = name(name).isEmpty()
                    ? AttributeHeaderCodec.illegal(String.valueOf(event.getExtension(name)))
                    : name(name);
            if (!fault.isEmpty()) {
                return "extension " + name + " holds " + fault;
            }
        }
        return "";
    }

    /** Whether an attribute may have that name, as far as its characters go. */
    static boolean isName(String name) {
        return NAME.matcher(name).matches();
    }

    private static String name(String name) {
        return isName(name) && !NOT_EXTENSIONS.contains(name) ? "" : "a name that is none: a to z and 0 to 9";
    }

    /** What is wrong with an event's JSON before the SDK reads it, or nothing. */
    static String fault(JsonNode event) {
        if (!event.isObject()) {
            return "an event is a JSON object";
        }
        if (event.hasNonNull("data") && event.hasNonNull("data_base64")) {
            return "data and data_base64 exclude each other";
        }
        if (event.hasNonNull("data_base64") && !event.get("data_base64").isTextual()) {
            return "data_base64 is no string";
        }
        for (Map.Entry<String, JsonNode> field : event.properties()) {
            String name = field.getKey();
            JsonNode value = field.getValue();
            if (NOT_EXTENSIONS.contains(name)) {
                continue;
            }
            if (!name(name).isEmpty()) {
                return "attribute " + name + " has " + name(name);
            }
            boolean whole = value.isIntegralNumber() && value.canConvertToInt();
            if (!value.isNull() && !value.isTextual() && !value.isBoolean() && !whole) {
                return "attribute " + name + " is neither a string, a boolean nor a whole number of 32 bits";
            }
            if (Set.of("id", "source", "type", "specversion", "subject", "time", "dataschema", "datacontenttype")
                            .contains(name)
                    && !value.isNull()
                    && !value.isTextual()) {
                return name + " is no string";
            }
        }
        return "";
    }
}
