package elderseam.core;

import java.util.Map;

/**
 * What a frontend knows of a request besides its message, for the operator's rules. Each is computed only when a rule
 * asks for it. Confined to the event-loop thread.
 */
public interface RequestAttributes {
    /** The frontend's name, such as {@code platform} or {@code events}. */
    String frontend();

    /** The HTTP method. */
    String method();

    /** The HTTP path. */
    String path();

    /** The headers by their names in lower case; of a repeated one the first. */
    Map<String, String> headers();

    /** The client's address without a port; empty where it is not known. */
    String clientAddress();

    /** The attributes and extensions of an event by name; otherwise empty. */
    Map<String, String> eventAttributes();

    /** The message's body. Nobody may modify it. */
    byte[] body();
}
