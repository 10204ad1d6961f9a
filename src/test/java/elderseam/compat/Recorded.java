package elderseam.compat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Recorded resources ({@link RecordedBytes}) that hold a line of hexadecimal for each record, or plain lines: readers, and assertions
 * that the same is written again.
 */
public final class Recorded {
    private static final HexFormat HEX = HexFormat.of();
    private static final int LINE = 64; // bytes, where a resource is one piece

    private Recorded() {}

    /** Whether that resource is to be recorded in this run. */
    public static boolean wanted(String name) {
        return RecordedBytes.missing(name);
    }

    public static List<String> lines(String name) throws IOException {
        return Files.readAllLines(RecordedBytes.path(name));
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
        assertEquals(String.join("\n", RecordedBytes.lines(name, lines)), String.join("\n", lines), name);
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
