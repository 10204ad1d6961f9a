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

/** The runs of a folder as rows: read from JSON Lines, written as CSV. */
public final class RunTable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** One run: its values by name, in the order of the file. */
    public record Row(Map<String, String> values) {
        /** Returns a value, or an empty string if the run has none of this name. */
        public String text(String name) {
            return values.getOrDefault(name, "");
        }

        /**
         * Returns a figure.
         *
         * @throws IllegalArgumentException if the run has no value of this name, or it is not a number
         */
        public double number(String name) {
            String value = values.get(name);
            if (value == null) {
                throw new IllegalArgumentException(
                        "no figure '" + name + "', allowed: " + String.join(", ", values.keySet()));
            }
            return Double.parseDouble(value);
        }
    }

    private RunTable() {}

    /**
     * Reads a file of one JSON object a line.
     *
     * @throws IOException if the file can't be read, or a line is no object; the message names the line
     */
    public static List<Row> read(Path file) throws IOException {
        List<Row> rows = new ArrayList<>();
        int lineNumber = 0;
        for (String line : Files.readAllLines(file)) {
            lineNumber++;
            try {
                rows.add(parseRow(line));
            } catch (IOException e) {
                String firstLine = e.getMessage().lines().findFirst().orElse("");
                throw new IOException(file + ":" + lineNumber + ": no run: " + firstLine, e);
            }
        }
        return rows;
    }

    private static Row parseRow(String line) throws IOException {
        JsonNode node = JSON.readTree(line);
        if (!node.isObject()) {
            throw new IOException("no object");
        }
        Map<String, String> values = new LinkedHashMap<>();
        node.properties()
                .forEach(member -> values.put(member.getKey(), member.getValue().asText()));
        return new Row(values);
    }

    /** Formats rows as CSV with a header; the columns are all names, in the order in which they first occur. */
    public static String csv(List<Row> rows) {
        Set<String> columns = new LinkedHashSet<>();
        rows.forEach(row -> columns.addAll(row.values.keySet()));
        StringBuilder csv = new StringBuilder();
        appendRecord(csv, columns.stream().toList());
        for (Row row : rows) {
            appendRecord(csv, columns.stream().map(row::text).toList());
        }
        return csv.toString();
    }

    private static void appendRecord(StringBuilder csv, List<String> fields) {
        csv.append(String.join(",", fields.stream().map(RunTable::quoteIfNeeded).toList()))
                .append('\n');
    }

    /** Quotes a field as RFC 4180, section 2, asks. */
    private static String quoteIfNeeded(String field) {
        return field.matches("[^,\"\r\n]*") ? field : "\"" + field.replace("\"", "\"\"") + "\"";
    }
}
