package elderseam.core;

import java.util.Map;

/** What a front knows of a request besides its message, for the operator's rules; fetched only where a rule asks. */
public interface RequestAttributes {
    /** Such as {@code platform} or {@code events}. */
    String front();

    String method();

    String path();

    /** By their names in small letters; of one told more than once the first. */
    Map<String, String> headers();

    /** The client's address, without a port; empty where it is not known. */
    String source();

    /** Of an event: its attributes and extensions by name; else empty. */
    Map<String, String> attributes();

    /** What the message carries. */
    byte[] body();
}
