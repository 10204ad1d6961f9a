package elderseam.http;

import java.util.Map;

/**
 * The status and headers of a response, as far as they were read.
 *
 * @param statusCode the status code
 * @param headers values by case-insensitive name; unless the head is complete, the value of one may lack its end
 * @param extent how much of the head was read
 */
public record ResponseHead(int statusCode, Map<String, String> headers, Extent extent) {
    /** How much of a head was read. */
    public enum Extent {
        /** All of it. */
        COMPLETE,
        /** A part; the rest may still arrive. */
        PARTIAL,
        /** A part; the rest will not arrive. */
        BROKEN_OFF
    }

    /** Returns the value of a header; empty if it was not read. */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }
}
