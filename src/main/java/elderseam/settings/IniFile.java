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
 * INI text by Commons Configuration, with the line of each value, which that library does not tell. What it would take
 * silently is a fault here: a key told twice, a value before any section, a line that is neither.
 */
final class IniFile {
    record Value(String text, int line) {}

    private IniFile() {}

    /** The values by {@code section.key}; faults are added. */
    static Map<String, Value> read(String file, List<String> lines, List<String> faults) throws IOException {
        Map<String, Integer> places = places(file, lines, faults);
        Map<String, Value> values = new LinkedHashMap<>();
        INIConfiguration ini = new INIConfiguration();
        ini.setCommentLeadingCharsUsedInInput("#;");
        ini.setSeparatorUsedInInput("=");
        try {
            ini.read(new StringReader(String.join("\n", lines) + "\n"));
        } catch (ConfigurationException e) {
            faults.add(file + ": no INI file: " + e.getMessage());
            return values;
        }
        places.forEach((path, line) -> {
            int dot = path.indexOf('.');
            SubnodeConfiguration section = ini.getSection(path.substring(0, dot));
            String text = section.getString(path.substring(dot + 1));
            values.put(path, new Value(text == null ? "" : text.strip(), line));
        });
        return values;
    }

    private static Map<String, Integer> places(String file, List<String> lines, List<String> faults) {
        Map<String, Integer> places = new LinkedHashMap<>();
        Map<String, Integer> sections = new HashMap<>();
        String section = null;
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            String at = file + ":" + (i + 1) + ": ";
            if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
                continue;
            }
            if (line.matches("\\[[A-Za-z0-9_]+]")) {
                section = line.substring(1, line.length() - 1);
                Integer before = sections.putIfAbsent(section, i + 1);
                if (before != null) {
                    faults.add(at + "section " + section + " stands at line " + before + " already, allowed: once");
                }
                continue;
            }
            int eq = line.indexOf('=');
            String name = eq < 0 ? "" : line.substring(0, eq).strip();
            if (!name.matches("[A-Za-z0-9_]+")) {
                faults.add(at + "'" + line + "' is no setting, allowed: [section], key = value, # comment");
            } else if (section == null) {
                faults.add(at + name + ": before any section, allowed: below a [section]");
            } else if (places.putIfAbsent(section + "." + name, i + 1) != null) {
                faults.add(at + section + "." + name + ": told at line " + places.get(section + "." + name)
                        + " already, allowed: once");
            }
        }
        return places;
    }
}
