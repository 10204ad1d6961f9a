package elderseam.frontend.platform;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/** Reads parameters of a percent-encoded query in the form {@code name=value&name=value}. Stateless. */
final class QueryParameters {
    private static final char PAIR_SEPARATOR = '&';
    private static final char VALUE_SEPARATOR = '=';

    private QueryParameters() {}

    /**
     * Returns the decoded value of a parameter; empty if the query does not contain the parameter.
     *
     * @param query the query as it was sent, without the question mark
     * @throws InvalidRequestException if the query contains the parameter twice, or its value is not validly encoded
     */
    static String value(String query, String name) throws InvalidRequestException {
        String found = null;
        for (int start = 0; start < query.length(); ) {
            int separator = query.indexOf(PAIR_SEPARATOR, start);
            int end = separator < 0 ? query.length() : separator;
            if (hasName(query, start, end, name)) {
                if (found != null) {
                    throw new InvalidRequestException(400, "bad " + name);
                }
                found = decode(query.substring(Math.min(end, start + name.length() + 1), end), name);
            }
            start = end + 1;
        }
        return found == null ? "" : found;
    }

    /** Whether the pair from {@code start} to {@code end} has this name. */
    private static boolean hasName(String query, int start, int end, String name) {
        int nameEnd = start + name.length();
        return nameEnd <= end
                && query.startsWith(name, start)
                && (nameEnd == end || query.charAt(nameEnd) == VALUE_SEPARATOR);
    }

    private static String decode(String value, String name) throws InvalidRequestException {
        if (value.indexOf('%') < 0 && value.indexOf('+') < 0) {
            return value;
        }
        try {
            return URLDecoder.decode(value, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new InvalidRequestException(400, "bad " + name);
        }
    }
}
