package elderseam.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The table of docs/log-events.md and the code name the same events, with the same levels and fields. */
class LogEventsTest {
    private static final Path TABLE = Path.of("docs/log-events.md");
    private static final Path SOURCES = Path.of("src/main/java");

    /** What a line of System.err is for: output of commands and of the test kit, and what is wrong before a start. */
    private static final List<String> MAY_PRINT = List.of(
            "elderseam/Main.java", "elderseam/app/DispatcherServer.java", "elderseam/cli/", "elderseam/testkit/");

    private static final Pattern CALL = Pattern.compile("\\bLOG\\s*\\.(debug|info|warn|error)\\(");
    private static final Pattern EVENT_NAME = Pattern.compile("\\s*\"([^\"]*)\"");
    private static final Pattern FIELD_KEY = Pattern.compile("\\bfield\\(\\s*\"([a-z_]+)\"");
    private static final Pattern ERROR_FIELD = Pattern.compile("\\berror\\(|^\\s*\"[^\"]*\",\\s*e$");
    private static final Pattern NAME = Pattern.compile("[a-z]+(\\.[a-z]+(_[a-z]+)*)+");
    private static final Pattern ROW = Pattern.compile("\\| `([^`]+)` \\| ([A-Z]+) \\| ([^|]*) ?\\| ([^|]+) \\|");
    private static final Pattern CODE = Pattern.compile("`([a-z_]+)`");

    /** One row of the table, or all the calls that log an event. */
    private record Event(String level, Set<String> fields) {}

    private static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    /** The text between a call's parentheses. */
    private static String arguments(String source, int start) {
        int depth = 1;
        int end = start;
        boolean quoted = false;
        while (depth > 0) {
            char character = source.charAt(end);
            if (quoted && character == '\\') {
                end++;
            } else if (character == '"') {
                quoted = !quoted;
            } else if (!quoted) {
                depth += character == '(' ? 1 : character == ')' ? -1 : 0;
            }
            end++;
        }
        return source.substring(start, end - 1);
    }

    private static Map<String, Event> logged() throws IOException {
        Map<String, Event> events = new TreeMap<>();
        for (Path file : sources()) {
            String source = Files.readString(file);
            Matcher call = CALL.matcher(source);
            while (call.find()) {
                String arguments = arguments(source, call.end());
                Matcher name = EVENT_NAME.matcher(arguments);
                assertTrue(name.lookingAt(), file + ": the event's name is no literal: " + arguments);
                Event event = new Event(call.group(1).toUpperCase(Locale.ROOT), fields(source, arguments));
                Event other = events.putIfAbsent(name.group(1), event);
                assertTrue(other == null || other.equals(event), name.group(1) + ": " + other + " and " + event);
            }
        }
        return events;
    }

    /** The fields of a call; one that a variable holds counts by the only field() that the variable is set to. */
    private static Set<String> fields(String source, String arguments) {
        Set<String> fields = new TreeSet<>();
        Matcher key = FIELD_KEY.matcher(arguments);
        while (key.find()) {
            fields.add(key.group(1));
        }
        if (ERROR_FIELD.matcher(arguments).find()) {
            fields.add("error");
        }
        Matcher variable = Pattern.compile("LogField (\\w+) =\\s*field\\(\\s*\"([a-z_]+)\"")
                .matcher(source);
        while (variable.find()) {
            if (Pattern.compile(",\\s*" + variable.group(1) + "\\b(?!\\()")
                    .matcher(arguments)
                    .find()) {
                fields.add(variable.group(2));
            }
        }
        return fields;
    }

    private static Map<String, Event> documented() throws IOException {
        Map<String, Event> events = new TreeMap<>();
        for (String line : Files.readAllLines(TABLE)) {
            Matcher row = ROW.matcher(line);
            if (row.matches()) {
                Set<String> fields = new TreeSet<>();
                Matcher field = CODE.matcher(row.group(3));
                while (field.find()) {
                    fields.add(field.group(1));
                }
                Event before = events.put(row.group(1), new Event(row.group(2), fields));
                assertEquals(null, before, row.group(1) + " stands twice in " + TABLE);
            }
        }
        return events;
    }

    @Test
    void theTableHasEveryEventOfTheCodeAndNoOther() throws IOException {
        Map<String, Event> logged = logged();
        assertTrue(logged.size() > 50, logged.keySet() + ": the calls are found");
        assertEquals(lines(documented()), lines(logged));
    }

    /** As text, so that a difference shows by its line. */
    private static String lines(Map<String, Event> events) {
        StringBuilder lines = new StringBuilder();
        events.forEach((name, event) -> lines.append(name)
                .append(' ')
                .append(event.level())
                .append(' ')
                .append(event.fields())
                .append('\n'));
        return lines.toString();
    }

    @Test
    void namesAreLowerCaseWithTheSubsystemFirstAndInOrder() throws IOException {
        List<String> names = new ArrayList<>();
        for (String line : Files.readAllLines(TABLE)) {
            Matcher row = ROW.matcher(line);
            if (row.matches()) {
                names.add(row.group(1));
            }
        }
        assertEquals(names.stream().sorted().toList(), names);
        assertEquals(
                List.of(),
                names.stream().filter(name -> !NAME.matcher(name).matches()).toList());
    }

    /** A line of the running server that is no event would be in no table. */
    @Test
    void theServerPrintsNothingElse() throws IOException {
        for (Path file : sources()) {
            String name = SOURCES.relativize(file).toString();
            if (MAY_PRINT.stream().noneMatch(name::startsWith)) {
                String source = Files.readString(file);
                assertFalse(source.contains("System.err"), name);
                assertFalse(source.contains("printStackTrace"), name);
            }
        }
    }

    /** What the documents tell an operator to look for is an event, where it looks like one. */
    @Test
    void theOnCallPageNamesOnlyEventsOfTheTable() throws IOException {
        Set<String> known = documented().keySet();
        Set<String> subsystems = new TreeSet<>();
        known.forEach(name -> subsystems.add(name.substring(0, name.indexOf('.'))));
        Matcher level = Pattern.compile("`(?:INFO |WARN |ERROR )?([a-z]+)(\\.[a-z_.]+)")
                .matcher(Files.readString(Path.of("docs/on-call.md")));
        Set<String> unknown = new TreeSet<>();
        int found = 0;
        while (level.find()) {
            String name = level.group(1) + level.group(2);
            found += known.contains(name) ? 1 : 0;
            if (subsystems.contains(level.group(1)) && !known.contains(name)) {
                unknown.add(name);
            }
        }
        assertTrue(found > 30, found + " events");
        assertEquals(Set.of(), unknown);
    }
}
