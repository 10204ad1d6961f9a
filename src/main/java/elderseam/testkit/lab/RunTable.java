package elderseam.testkit.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The runs of a folder as rows, and rows as CSV. */
public final class RunTable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** One run's values by name. */
    public record Row(Map<String, String> values) {
        public String text(String name) {
            return values.getOrDefault(name, "");
        }

        public double number(String name) {
            String v = values.get(name);
            if (v == null) {
                throw new IllegalArgumentException(
                        "no figure '" + name + "', allowed: " + String.join(", ", values.keySet()));
            }
            return Double.parseDouble(v);
        }
    }

    private RunTable() {}

    /** Faults name the line. */
    public static List<Row> read(Path file) throws IOException {
        List<Row> all = new ArrayList<>();
        int n = 0;
        for (String line : Files.readAllLines(file)) {
            n++;
            try {
                JsonNode node = JSON.readTree(line);
                if (!node.isObject()) {
                    throw new IOException("no object");
                }
                Map<String, String> values = new LinkedHashMap<>();
                node.properties()
                        .forEach(e -> values.put(e.getKey(), e.getValue().asText()));
                all.add(new Row(values));
            } catch (IOException e) {
                throw new IOException(file + ":" + n + ": no run: "
                        + e.getMessage().lines().findFirst().orElse(""));
            }
        }
        return all;
    }

    public static String csv(List<Row> rows) {
        Set<String> names = new LinkedHashSet<>();
        rows.forEach(r -> names.addAll(r.values.keySet()));
        StringBuilder all = new StringBuilder(
                        String.join(",", names.stream().map(RunTable::cell).toList()))
                .append('\n');
        for (Row r : rows) {
            all.append(String.join(",", names.stream().map(n -> cell(r.text(n))).toList()))
                    .append('\n');
        }
        return all.toString();
    }

    /** RFC 4180, section 2. */
    private static String cell(String s) {
        return s.matches("[^,\"\r\n]*") ? s : "\"" + s.replace("\"", "\"\"") + "\"";
    }
}
