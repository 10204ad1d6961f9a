package elderseam.compat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Bytes and texts that an earlier build stored, sent or printed, kept under {@code src/test/resources/compat}. Tests read them and
 * write the same values again, so that a change of a stored or sent format fails. A resource holds plain bytes, text, or one line
 * of hexadecimal for each record.
 *
 * <p>A run with {@code -Dcompat.record=true} writes the resources that are missing. It never replaces an existing one: that is
 * what members of an earlier build have on their disks. A printed text that is to change is deleted and recorded anew, which is
 * right only where operators are told of the change.
 */
public final class RecordedResource {
    private static final boolean RECORDING = Boolean.getBoolean("compat.record");
    private static final Path FOLDER = Path.of("src/test/resources/compat");
    private static final HexFormat HEX = HexFormat.of();
    private static final int BYTES_PER_LINE = 64; // in a resource that is not cut into records

    private RecordedResource() {}

    /** The folder of all resources and of the inputs that lead to them. */
    public static Path folder() {
        return FOLDER;
    }

    /** The path of a resource, which may be missing while recording. */
    public static Path path(String name) {
        return FOLDER.resolve(name);
    }

    /** Whether a resource is missing and to be recorded in this run. */
    public static boolean isToBeRecorded(String name) {
        return RECORDING && Files.notExists(path(name));
    }

    /** The lines of an existing resource. */
    public static List<String> lines(String name) throws IOException {
        return Files.readAllLines(path(name));
    }

    /** The lines of a resource; {@code written} is recorded if it is missing. */
    public static List<String> linesOrRecord(String name, List<String> written) throws IOException {
        byte[] text = (String.join("\n", written) + "\n").getBytes(StandardCharsets.UTF_8);
        return new String(bytesOrRecord(name, text), StandardCharsets.UTF_8)
                .lines()
                .toList();
    }

    /** The bytes of a resource as they are in the file; {@code written} is recorded if it is missing. */
    public static byte[] bytesOrRecord(String name, byte[] written) throws IOException {
        if (isToBeRecorded(name)) {
            Files.createDirectories(path(name).getParent());
            Files.write(path(name), written);
        }
        return Files.readAllBytes(path(name));
    }

    /** The records of a resource that has one line of hexadecimal for each. */
    public static List<byte[]> hexRecords(String name) throws IOException {
        return lines(name).stream().map(HEX::parseHex).toList();
    }

    /** All records of a resource of hexadecimal lines, joined. */
    public static byte[] hexBytes(String name) throws IOException {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        hexRecords(name).forEach(joined::writeBytes);
        return joined.toByteArray();
    }

    /** Bytes as lower-case hexadecimal. */
    public static String toHex(byte[] bytes) {
        return HEX.formatHex(bytes);
    }

    /** The bytes of a hexadecimal text. */
    public static byte[] fromHex(String text) {
        return HEX.parseHex(text);
    }

    /** Asserts that these lines are those of the resource. */
    public static void assertLines(String name, List<String> lines) throws IOException {
        String recorded = String.join("\n", linesOrRecord(name, lines));
        assertEquals(recorded, String.join("\n", lines), name);
    }

    /** Asserts that these records are those of the resource, which has one line of hexadecimal for each. */
    public static void assertHexRecords(String name, List<byte[]> records) throws IOException {
        assertLines(name, records.stream().map(HEX::formatHex).toList());
    }

    /** Asserts that these bytes are those of the resource, which has them in hexadecimal lines of one length. */
    public static void assertHexBytes(String name, byte[] bytes) throws IOException {
        List<String> lines = new ArrayList<>();
        for (int start = 0; start < bytes.length; start += BYTES_PER_LINE) {
            int end = Math.min(bytes.length, start + BYTES_PER_LINE);
            lines.add(HEX.formatHex(bytes, start, end));
        }
        assertLines(name, lines);
    }

    /** Asserts that this text is that of the resource, byte for byte. */
    public static void assertText(String name, String text) throws IOException {
        byte[] recorded = bytesOrRecord(name, text.getBytes(StandardCharsets.UTF_8));
        assertEquals(new String(recorded, StandardCharsets.UTF_8), text, name);
    }
}
