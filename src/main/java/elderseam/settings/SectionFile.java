package elderseam.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads files of named sections, {@code [kind name]}, such as rules and scenarios. Unlike in an INI file, a value is the rest
 * of its line as it stands, since expressions hold quotes, commas and comment signs; lines that begin with white space
 * continue it.
 */
public final class SectionFile {
    private static final int MAX_SECTIONS = 20_000;
    private static final String KEY = "[a-z][a-z0-9_]*";
    private static final String SECTION_NAME = "[A-Za-z0-9_.-]{1,64}";

    /** The kind and the name of a section whose header is malformed, so that its keys are read on. */
    private static final String UNKNOWN = "unknown";

    /** A value, and the place of its first character: {@code line} and {@code column}, from 1. */
    public record Value(String text, int line, int column) {}

    /**
     * A section.
     *
     * @param file the file's name, for faults
     * @param line the line of the header, from 1
     * @param values the values by key, in the order of the file; a key that stands more than once has more than one
     */
    public record Section(String file, String kind, String name, int line, Map<String, List<Value>> values) {
        /** The beginning of a fault's line for a value of this section. */
        public String place(Value value, String key) {
            return file + ":" + value.line + ":" + value.column + ": " + kind + "." + name + "." + key + ": ";
        }

        /** The beginning of a fault's line for the section itself. */
        public String place() {
            return file + ":" + line + ": " + kind + "." + name + ": ";
        }

        /** Whether the section has the key. */
        public boolean has(String key) {
            return values.containsKey(key);
        }

        /** The first value of a key, or null. */
        public Value value(String key) {
            List<Value> all = values.get(key);
            return all == null ? null : all.get(0);
        }

        /** The text of a key's first value, or {@code absent}. */
        public String text(String key, String absent) {
            Value value = value(key);
            return value == null ? absent : value.text;
        }
    }

    private final String file;
    private final List<String> kinds;
    private final List<String> faults;
    private final List<Section> sections = new ArrayList<>();
    private final Map<String, Integer> lineBySection = new LinkedHashMap<>();
    private List<Value> continuable; // the values of the last line's key, which the next line may continue; or null

    private SectionFile(String file, List<String> kinds, List<String> faults) {
        this.file = file;
        this.kinds = kinds;
        this.faults = faults;
    }

    /**
     * Reads the sections of a file.
     *
     * @param file the file's name, for faults
     * @param kinds the kinds of sections that are allowed
     * @param faults gets what is wrong with the file's form, a line each
     */
    public static List<Section> read(String file, List<String> lines, List<String> kinds, List<String> faults) {
        SectionFile reader = new SectionFile(file, kinds, faults);
        for (int i = 0; i < lines.size(); i++) {
            reader.readLine(lines.get(i), i + 1);
        }
        return reader.sections;
    }

    private void readLine(String line, int lineNumber) {
        String stripped = line.strip();
        boolean indented = !stripped.isEmpty() && Character.isWhitespace(line.charAt(0));
        if (indented && continuable != null) {
            continueValue(line);
            return;
        }
        continuable = null;
        if (stripped.isEmpty() || stripped.startsWith("#") || stripped.startsWith(";")) {
            return;
        }
        if (stripped.startsWith("[")) {
            beginSection(stripped, lineNumber);
        } else {
            readKey(line, lineNumber);
        }
    }

    private void continueValue(String line) {
        Value begun = continuable.remove(continuable.size() - 1);
        continuable.add(new Value(begun.text + "\n" + line.stripTrailing(), begun.line, begun.column));
    }

    private void readKey(String line, int lineNumber) {
        int equals = line.indexOf('=');
        String key = equals < 0 ? "" : line.substring(0, equals).strip();
        if (!key.matches(KEY)) {
            faults.add(place(lineNumber) + "'" + line.strip()
                    + "' is no line of such a file, allowed: [kind name], key = value, # comment");
            return;
        }
        if (sections.isEmpty()) {
            faults.add(place(lineNumber) + key + ": before any section, allowed: below a [kind name]");
            return;
        }
        int start = equals + 1;
        while (start < line.length() && line.charAt(start) == ' ') {
            start++;
        }
        Section section = sections.get(sections.size() - 1);
        continuable = section.values.computeIfAbsent(key, absent -> new ArrayList<>());
        continuable.add(new Value(line.substring(start).stripTrailing(), lineNumber, start + 1));
    }

    private void beginSection(String header, int lineNumber) {
        String[] words = header.endsWith("]")
                ? header.substring(1, header.length() - 1).strip().split(" +")
                : new String[0];
        if (words.length == 2 && kinds.contains(words[0]) && words[1].matches(SECTION_NAME)) {
            checkOnce(words[0] + " " + words[1], lineNumber);
            addSection(words[0], words[1], lineNumber);
        } else {
            List<String> allowed =
                    kinds.stream().map(kind -> "[" + kind + " NAME]").toList();
            faults.add(place(lineNumber) + "'" + header + "' is no section, allowed: " + String.join(", ", allowed));
            addSection(UNKNOWN, UNKNOWN, lineNumber);
        }
    }

    private void checkOnce(String section, int lineNumber) {
        Integer earlier = lineBySection.putIfAbsent(section, lineNumber);
        if (earlier != null) {
            faults.add(place(lineNumber) + section + " stands at line " + earlier + " already, allowed: once");
        }
    }

    /** One section more than is allowed is kept, to be reported once; the keys of those after it are added to it. */
    private void addSection(String kind, String name, int lineNumber) {
        if (sections.size() == MAX_SECTIONS) {
            faults.add(place(lineNumber) + "more than " + MAX_SECTIONS + " sections");
        }
        if (sections.size() <= MAX_SECTIONS) {
            sections.add(new Section(file, kind, name, lineNumber, new LinkedHashMap<>()));
        }
    }

    private String place(int lineNumber) {
        return file + ":" + lineNumber + ": ";
    }
}
