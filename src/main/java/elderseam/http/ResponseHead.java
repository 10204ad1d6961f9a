package elderseam.http;

import java.util.Map;
import java.util.TreeMap;

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

    /** Returns a head of which a part was read; {@code unfinishedLine}: what was read behind the last whole line. */
    static ResponseHead unfinished(
            int statusCode, Map<String, String> headers, CharSequence unfinishedLine, Extent extent) {
        Map<String, String> known = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        known.putAll(headers);
        addHeader(unfinishedLine.toString(), known);
        return new ResponseHead(statusCode, known, extent);
    }

    /** Adds the header in a line unless it is there; returns its name, empty if the line is no header. */
    static String addHeader(String line, Map<String, String> headers) {
        int colon = line.indexOf(':');
        if (colon < 1) {
            return "";
        }
        String name = line.substring(0, colon).strip();
        headers.putIfAbsent(name, line.substring(colon + 1).strip());
        return name;
    }

    /** Returns the value of a header; empty if it was not read. */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }
}
