package elderseam.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * Reads INI text with Commons Configuration, and finds the line of each value, which the library does not tell. What the
 * library accepts silently is a fault here: a section or key that stands twice, a value before any section, a line that is
 * neither.
 */
final class IniFile {
    /** A value as it stands in the file, and its line, from 1. */
    record Value(String text, int line) {}

    private final String file;
    private final List<String> lines;
    private final List<String> faults;
    private final Map<String, Integer> lineBySection = new HashMap<>();
    private final Map<String, Integer> lineByPath = new LinkedHashMap<>(); // in the order of the file
    private String section; // of the line that is being read; null before the first

    private IniFile(String file, List<String> lines, List<String> faults) {
        this.file = file;
        this.lines = lines;
        this.faults = faults;
    }

    /** Returns the values by {@code section.key}, in the order of the file, and adds the faults of its form. */
    static Map<String, Value> read(String file, List<String> lines, List<String> faults) throws IOException {
        IniFile ini = new IniFile(file, lines, faults);
        ini.findLines();
        return ini.values();
    }

    private void findLines() {
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
                continue;
            }
            if (line.matches("\\[[A-Za-z0-9_]+]")) {
                beginSection(line.substring(1, line.length() - 1), i + 1);
            } else {
                findKey(line, i + 1);
            }
        }
    }

    private void beginSection(String name, int lineNumber) {
        section = name;
        Integer earlier = lineBySection.putIfAbsent(name, lineNumber);
        if (earlier != null) {
            faults.add(
                    place(lineNumber) + "section " + name + " stands at line " + earlier + " already, allowed: once");
        }
    }

    private void findKey(String line, int lineNumber) {
        int equals = line.indexOf('=');
        String name = equals < 0 ? "" : line.substring(0, equals).strip();
        if (!name.matches("[A-Za-z0-9_]+")) {
            faults.add(place(lineNumber) + "'" + line + "' is no setting, allowed: [section], key = value, # comment");
            return;
        }
        if (section == null) {
            faults.add(place(lineNumber) + name + ": before any section, allowed: below a [section]");
            return;
        }
        String path = section + "." + name;
        Integer earlier = lineByPath.putIfAbsent(path, lineNumber);
        if (earlier != null) {
            faults.add(place(lineNumber) + path + ": told at line " + earlier + " already, allowed: once");
        }
    }

    private String place(int lineNumber) {
        return file + ":" + lineNumber + ": ";
    }

    private Map<String, Value> values() throws IOException {
        INIConfiguration ini = new INIConfiguration();
        ini.setCommentLeadingCharsUsedInInput("#;");
        ini.setSeparatorUsedInInput("=");
        try {
            ini.read(new StringReader(String.join("\n", lines) + "\n"));
        } catch (ConfigurationException e) {
            faults.add(file + ": no INI file: " + e.getMessage());
            return Map.of();
        }
        Map<String, Value> values = new LinkedHashMap<>();
        lineByPath.forEach((path, lineNumber) -> {
            int dot = path.indexOf('.');
            SubnodeConfiguration sectionValues = ini.getSection(path.substring(0, dot));
            String text = sectionValues.getString(path.substring(dot + 1));
            values.put(path, new Value(text == null ? "" : text.strip(), lineNumber));
        });
        return values;
    }
}
