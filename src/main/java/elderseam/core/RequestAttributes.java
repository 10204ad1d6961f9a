package elderseam.core;

import java.util.Map;

/**
 * Attributes of a request besides its message, provided by the frontend for the operator's rules. Each is computed only
 * when a rule reads it. Confined to the event-loop thread.
 */
public interface RequestAttributes {
    /** The frontend's name, such as {@code platform} or {@code events}. */
    String frontend();

    /** The HTTP method. */
    String method();

    /** The HTTP path. */
    String path();

    /** The headers by lower-case name; for a repeated header, its first value. */
    Map<String, String> headers();

    /** The client's address without the port; empty if unknown. */
    String clientAddress();

    /** The attributes and extensions of a CloudEvent by name; empty for other requests. */
    Map<String, String> eventAttributes();

    /** The message's body, which must not be modified. */
    byte[] body();
}
