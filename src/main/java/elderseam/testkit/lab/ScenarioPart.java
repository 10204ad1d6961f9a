package elderseam.testkit.lab;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A section of a scenario file.
 *
 * @param values by key, in the order of the file
 */
record ScenarioPart(String kind, String name, Map<String, String> values) {
    /** Returns a copy with one value replaced or added. */
    ScenarioPart with(String key, String value) {
        Map<String, String> copy = new LinkedHashMap<>(values);
        copy.put(key, value);
        return new ScenarioPart(kind, name, copy);
    }

    /** Appends the section's header and values to the lines of a scenario. */
    void appendTo(List<String> lines) {
        lines.add("[" + kind + " " + name + "]");
        values.forEach((key, value) -> lines.add(key + " = " + value));
    }
}
