package elderseam.frontend.cloudevents;

import elderseam.core.ActiveRequest;
import io.cloudevents.CloudEvent;
import java.util.HashMap;
import java.util.Map;

/** One event of a request: valid, and a message, or not. */
sealed interface DecodedEvent {
    /** The event's source; empty where it could not be read. */
    String source();

    /** The event's id; empty where it could not be read. */
    String id();

    /**
     * An event that can be submitted.
     *
     * @param message carries the event; its class and destination may be below 0 where the operator's rules are to set
     *     them
     */
    record Valid(ActiveRequest.Message message, CloudEvent event) implements DecodedEvent {
        @Override
        public String source() {
            return event.getSource().toString();
        }

        @Override
        public String id() {
            return event.getId();
        }

        /** The event's context attributes and extensions, as texts. */
        Map<String, String> attributes() {
            Map<String, String> attributes = new HashMap<>();
            for (String name : event.getAttributeNames()) {
                Object value = event.getAttribute(name);
                if (value != null) {
                    attributes.put(name, value.toString());
                }
            }
            for (String name : event.getExtensionNames()) {
                attributes.put(name, String.valueOf(event.getExtension(name)));
            }
            return attributes;
        }

        /** The event's data; empty where it has none. */
        byte[] data() {
            return event.getData() == null ? new byte[0] : event.getData().toBytes();
        }
    }

    /**
     * An event that can't be accepted.
     *
     * @param status the HTTP status that says so to its sender
     * @param reason what is wrong with it, for its sender
     */
    record Invalid(String source, String id, int status, String reason) implements DecodedEvent {
        /** An event whose source and id could not be read. */
        static Invalid unidentified(int status, String reason) {
            return new Invalid("", "", status, reason);
        }
    }
}
