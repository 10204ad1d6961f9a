package elderseam.testkit;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of a dispatcher's log, as {@link elderseam.logging.EventLogger} writes it.
 *
 * @param level INFO, WARN or ERROR
 * @param text the event's name and its fields, as they stand in the line
 * @param event the event's name
 * @param fields the values by their keys, without quotes
 */
public record LogLine(String level, String text, String event, Map<String, String> fields) {
    private static final Pattern LINE =
            Pattern.compile("(INFO|WARN|ERROR) (([a-z][a-z0-9_]*(?:\\.[a-z][a-z0-9_]*)+)((?: .*)?))");

    private static final Pattern FIELD = Pattern.compile(" ([a-z][a-z0-9_]*)=(?:\"((?:[^\"\\\\]|\\\\.)*)\"|([^ \"]+))");

    /** Reads a line; empty for one that is no event, such as a line of a stack trace. */
    public static Optional<LogLine> parse(String line) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher field = FIELD.matcher(matcher.group(4));
        int end = 0;
        while (field.find() && field.start() == end) {
            fields.put(field.group(1), field.group(2) == null ? field.group(3) : unescaped(field.group(2)));
            end = field.end();
        }
        boolean complete = end == matcher.group(4).length();
        return complete
                ? Optional.of(new LogLine(matcher.group(1), matcher.group(2), matcher.group(3), Map.copyOf(fields)))
                : Optional.empty();
    }

    private static String unescaped(String quoted) {
        StringBuilder value = new StringBuilder();
        for (int i = 0; i < quoted.length(); i++) {
            char character = quoted.charAt(i);
            if (character == '\\') {
                i++;
                value.append(unescaped(quoted.charAt(i)));
            } else {
                value.append(character);
            }
        }
        return value.toString();
    }

    private static char unescaped(char escape) {
        return switch (escape) {
            case 'n' -> '\n';
            case 'r' -> '\r';
            default -> escape;
        };
    }

    /** Whether it is that event. */
    public boolean is(String name) {
        return event.equals(name);
    }

    /** The value of a field; empty where it has none of that key. */
    public String field(String key) {
        return fields.getOrDefault(key, "");
    }
}
