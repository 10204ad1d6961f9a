package elderseam.logging;

import java.net.InetSocketAddress;

/**
 * One field of a log event.
 *
 * @param key lower case, words joined by underscores; a unit is its last word ({@code after_ms})
 * @param value as it is, without quotes; never null
 */
public record LogField(String key, String value) {
    private static final String ERROR_KEY = "error";

    /** A field; an address is written as {@code HOST:PORT}, anything else by its {@code toString}. */
    public static LogField field(String key, Object value) {
        return new LogField(key, value instanceof InetSocketAddress address ? text(address) : String.valueOf(value));
    }

    /** A field with a number. */
    public static LogField field(String key, long value) {
        return new LogField(key, Long.toString(value));
    }

    /** The field {@code error}: the exception's class and message. */
    public static LogField error(Throwable thrown) {
        return new LogField(ERROR_KEY, thrown.toString());
    }

    private static String text(InetSocketAddress address) {
        String host = address.isUnresolved()
                ? address.getHostString()
                : address.getAddress().getHostAddress();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    /** Appends {@code key=value}; a value that is empty, or that a reader could take for more than one, is quoted. */
    void appendTo(StringBuilder line) {
        line.append(key).append('=');
        if (needsQuotes()) {
            appendQuoted(line);
        } else {
            line.append(value);
        }
    }

    private boolean needsQuotes() {
        for (int i = 0; i < value.length(); i++) {
            char character = value.charAt(i);
            if (character <= ' ' || character == '"' || character == '=' || character == '\\') {
                return true;
            }
        }
        return value.isEmpty();
    }

    private void appendQuoted(StringBuilder line) {
        line.append('"');
        for (int i = 0; i < value.length(); i++) {
            appendEscaped(line, value.charAt(i));
        }
        line.append('"');
    }

    private static void appendEscaped(StringBuilder line, char character) {
        switch (character) {
            case '"' -> line.append("\\\"");
            case '\\' -> line.append("\\\\");
            case '\n' -> line.append("\\n");
            case '\r' -> line.append("\\r");
            default -> line.append(character < ' ' ? ' ' : character);
        }
    }
}
