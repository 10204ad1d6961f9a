package elderseam.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A file of named sections, {@code [kind name]}, with values as an INI file has them, except that a value is all of its line as it
 * stands (expressions hold quotes, commas and signs of comments), and goes on in lines that begin with white space.
 */
public final class SectionFile {
    private static final int MOST_SECTIONS = 20_000;

    /** {@code line} and {@code column}, from 1, of the value's first character. */
    public record Value(String text, int line, int column) {}

    /** {@code kind} and {@code name} of {@code [kind name]}; a key told more than once has more than one value. */
    public record Section(String file, String kind, String name, int line, Map<String, List<Value>> values) {
        public String place(Value v, String key) {
            return file + ":" + v.line + ":" + v.column + ": " + kind + "." + name + "." + key + ": ";
        }

        public String place() {
            return file + ":" + line + ": " + kind + "." + name + ": ";
        }

        public boolean has(String key) {
            return values.containsKey(key);
        }

        public Value value(String key) {
            List<Value> all = values.get(key);
            return all == null ? null : all.get(0);
        }

        public String text(String key, String absent) {
            Value v = value(key);
            return v == null ? absent : v.text;
        }
    }

    private SectionFile() {}

    /** The sections of a file, of these kinds; what is wrong with its form is added to the faults. */
    public static List<Section> read(String file, List<String> lines, List<String> kinds, List<String> faults) {
        List<Section> all = new ArrayList<>();
        Map<String, Integer> seen = new LinkedHashMap<>();
        List<Value> values = null; // those of the last key, which a line may go on
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i), bare = line.strip(), at = file + ":" + (i + 1) + ": ";
            boolean goesOn = !bare.isEmpty() && Character.isWhitespace(line.charAt(0)) && values != null;
            if (goesOn) {
                Value v = values.remove(values.size() - 1);
                values.add(new Value(v.text + "\n" + line.stripTrailing(), v.line, v.column));
                continue;
            }
            values = null;
            if (bare.isEmpty() || bare.startsWith("#") || bare.startsWith(";")) {
                continue;
            }
            if (bare.startsWith("[")) {
                section(file, bare, i + 1, kinds, all, seen, faults);
                continue;
            }
            int eq = line.indexOf('=');
            String key = eq < 0 ? "" : line.substring(0, eq).strip();
            if (!key.matches("[a-z][a-z0-9_]*")) {
                faults.add(
                        at + "'" + bare + "' is no line of such a file, allowed: [kind name], key = value, # comment");
            } else if (all.isEmpty()) {
                faults.add(at + key + ": before any section, allowed: below a [kind name]");
            } else {
                int from = eq + 1;
                while (from < line.length() && line.charAt(from) == ' ') {
                    from++;
                }
                values = all.get(all.size() - 1).values.computeIfAbsent(key, k -> new ArrayList<>());
                values.add(new Value(line.substring(from).stripTrailing(), i + 1, from + 1));
            }
        }
        return all;
    }

    private static void section(
            String file,
            String bare,
            int line,
            List<String> kinds,
            List<Section> all,
            Map<String, Integer> seen,
            List<String> faults) {
        String[] words = bare.endsWith("]")
                ? bare.substring(1, bare.length() - 1).strip().split(" +")
                : new String[0];
        String at = file + ":" + line + ": ";
        if (words.length != 2 || !kinds.contains(words[0]) || !words[1].matches("[A-Za-z0-9_.-]{1,64}")) {
            faults.add(at + "'" + bare + "' is no section, allowed: "
                    + String.join(
                            ", ", kinds.stream().map(k -> "[" + k + " NAME]").toList()));
            words = new String[] {"unknown", "unknown"};
        } else if (seen.putIfAbsent(words[0] + " " + words[1], line) != null) {
            faults.add(at + words[0] + " " + words[1] + " stands at line " + seen.get(words[0] + " " + words[1])
                    + " already, allowed: once");
        }
        if (all.size() == MOST_SECTIONS) {
            faults.add(at + "more than " + MOST_SECTIONS + " sections");
        }
        if (all.size() <= MOST_SECTIONS) {
            all.add(new Section(file, words[0], words[1], line, new LinkedHashMap<>()));
        }
    }
}
