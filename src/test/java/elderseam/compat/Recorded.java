package elderseam.compat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * What an earlier build stored or sent, kept as test resources: a line of hexadecimal for each record, or plain text. Tests read it and
 * write the same again. With {@code -Dcompat.record=true} a resource that is missing is written instead; one that exists is never
 * replaced, so a change of the format can't be recorded by accident.
 */
public final class Recorded {
    private static final Path FOLDER = Path.of("src/test/resources/compat");
    private static final HexFormat HEX = HexFormat.of();
    private static final int LINE = 64; // bytes, where a resource is one piece

    private Recorded() {}

    /** Whether that resource is to be recorded in this run. */
    public static boolean wanted(String name) {
        return Boolean.getBoolean("compat.record") && !Files.exists(FOLDER.resolve(name));
    }

    public static List<String> lines(String name) throws IOException {
        return Files.readAllLines(FOLDER.resolve(name));
    }

    /** The records of a resource, each without its line's end. */
    public static List<byte[]> records(String name) throws IOException {
        return lines(name).stream().map(HEX::parseHex).toList();
    }

    /** All records of a resource, one after the other. */
    public static byte[] bytes(String name) throws IOException {
        return joined(records(name));
    }

    public static byte[] joined(List<byte[]> records) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        records.forEach(all::writeBytes);
        return all.toByteArray();
    }

    /** These lines are those of the resource. */
    public static void assertLines(String name, List<String> lines) throws IOException {
        if (wanted(name)) {
            Files.createDirectories(FOLDER.resolve(name).getParent());
            Files.write(FOLDER.resolve(name), lines);
        }
        assertEquals(String.join("\n", lines(name)), String.join("\n", lines), name);
    }

    /** These records, each of which has a line, are those of the resource. */
    public static void assertRecords(String name, List<byte[]> records) throws IOException {
        assertLines(name, records.stream().map(HEX::formatHex).toList());
    }

    /** These bytes, in lines of one length, are those of the resource. */
    public static void assertBytes(String name, byte[] bytes) throws IOException {
        List<String> lines = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += LINE) {
            lines.add(HEX.formatHex(bytes, at, Math.min(bytes.length, at + LINE)));
        }
        assertLines(name, lines);
    }
}
