package elderseam.frontend.cloudevents;

import com.fasterxml.jackson.databind.JsonNode;
import io.cloudevents.CloudEvent;
import java.net.URI;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Checks what CloudEvents 1.0.2 demands of an event and the SDK does not: core sections "Naming Conventions", "Type
 * System" and "Context Attributes", JSON format sections 2 and 3. docs/cloudevents.md lists each demand with its test.
 * Thread-safe.
 */
final class EventValidator {
    private static final Pattern ATTRIBUTE_NAME = Pattern.compile("[a-z0-9]+");
    private static final Pattern MEDIA_TYPE =
            Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+/[!#$%&'*+.^_`|~0-9A-Za-z-]+ *(;[ -~]*)?");

    /** Members of an event's JSON that hold its data. */
    private static final Set<String> DATA_MEMBERS = Set.of("data", "data_base64");

    private static final Set<String> STRING_ATTRIBUTES =
            Set.of("id", "source", "type", "specversion", "subject", "time", "dataschema", "datacontenttype");

    private static final String INVALID_NAME = "a name that is none: a to z and 0 to 9";

    private EventValidator() {}

    /** Whether an attribute may have that name, as far as its characters go. */
    static boolean isAttributeName(String name) {
        return ATTRIBUTE_NAME.matcher(name).matches();
    }

    /**
     * Checks an event that the SDK has read.
     *
     * @throws InvalidEventException with the first fault
     */
    static void check(CloudEvent event) throws InvalidEventException {
        checkContextAttributes(event);
        checkCharacters(event);
    }

    private static void checkContextAttributes(CloudEvent event) throws InvalidEventException {
        checkNotEmpty("id", event.getId());
        checkNotEmpty("source", event.getSource().toString());
        checkNotEmpty("type", event.getType());
        if (event.getSubject() != null) {
            checkNotEmpty("subject", event.getSubject());
        }
        URI dataSchema = event.getDataSchema();
        if (dataSchema != null && !dataSchema.isAbsolute()) {
            throw InvalidEventException.malformed("dataschema is no absolute URI");
        }
        String contentType = event.getDataContentType();
        if (contentType != null && !MEDIA_TYPE.matcher(contentType).matches()) {
            throw InvalidEventException.malformed("datacontenttype is no media type");
        }
    }

    private static void checkNotEmpty(String name, String value) throws InvalidEventException {
        if (value.isEmpty()) {
            throw InvalidEventException.malformed(name + " is empty");
        }
    }

    private static void checkCharacters(CloudEvent event) throws InvalidEventException {
        for (String name : event.getAttributeNames()) {
            Optional<String> illegal = AttributeHeaderCodec.illegalCharacter(String.valueOf(event.getAttribute(name)));
            if (illegal.isPresent()) {
                throw InvalidEventException.malformed(name + " holds " + illegal.get());
            }
        }
        for (String name : event.getExtensionNames()) {
            if (!isAttributeName(name) || DATA_MEMBERS.contains(name)) {
                throw InvalidEventException.malformed("extension " + name + " holds " + INVALID_NAME);
            }
            Optional<String> illegal = AttributeHeaderCodec.illegalCharacter(String.valueOf(event.getExtension(name)));
            if (illegal.isPresent()) {
                throw InvalidEventException.malformed("extension " + name + " holds " + illegal.get());
            }
        }
    }

    /** The first fault of an event's JSON, before the SDK reads it; empty where there is none. */
    static Optional<String> faultOf(JsonNode event) {
        if (!event.isObject()) {
            return Optional.of("an event is a JSON object");
        }
        if (event.hasNonNull("data") && event.hasNonNull("data_base64")) {
            return Optional.of("data and data_base64 exclude each other");
        }
        if (event.hasNonNull("data_base64") && !event.get("data_base64").isTextual()) {
            return Optional.of("data_base64 is no string");
        }
        for (Map.Entry<String, JsonNode> member : event.properties()) {
            Optional<String> fault =
                    DATA_MEMBERS.contains(member.getKey()) ? Optional.empty() : faultOfAttribute(member);
            if (fault.isPresent()) {
                return fault;
            }
        }
        return Optional.empty();
    }

    private static Optional<String> faultOfAttribute(Map.Entry<String, JsonNode> attribute) {
        String name = attribute.getKey();
        JsonNode value = attribute.getValue();
        if (!isAttributeName(name)) {
            return Optional.of("attribute " + name + " has " + INVALID_NAME);
        }
        if (value.isNull() || value.isTextual()) {
            return Optional.empty();
        }
        boolean isInteger = value.isIntegralNumber() && value.canConvertToInt();
        if (!value.isBoolean() && !isInteger) {
            return Optional.of("attribute " + name + " is neither a string, a boolean nor a whole number of 32 bits");
        }
        return STRING_ATTRIBUTES.contains(name) ? Optional.of(name + " is no string") : Optional.empty();
    }
}
