package elderseam.compat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Bytes that an earlier build stored or sent, kept under {@code src/test/resources/compat}. Tests read them and write the same
 * values again, so that a change of a stored or sent format fails.
 *
 * <p>A run with {@code -Dcompat.record=true} writes the resources that are missing. It never replaces an existing one: that is
 * what members of an earlier build have on their disks.
 */
public final class RecordedBytes {
    public static final boolean RECORDING = Boolean.getBoolean("compat.record");

    private static final Path ROOT = Path.of("src/test/resources/compat");

    private RecordedBytes() {}

    /** The path of a resource, which may be missing while recording. */
    public static Path path(String name) {
        return ROOT.resolve(name);
    }

    /** Whether a resource is to be written now. */
    public static boolean missing(String name) {
        return RECORDING && Files.notExists(path(name));
    }

    /** The recorded bytes of a resource; {@code written} is recorded where it is missing. */
    public static byte[] bytes(String name, byte[] written) throws IOException {
        if (missing(name)) {
            Files.createDirectories(path(name).getParent());
            Files.write(path(name), written);
        }
        return Files.readAllBytes(path(name));
    }

    /** The recorded lines of a resource; {@code written} is recorded where it is missing. */
    public static List<String> lines(String name, List<String> written) throws IOException {
        return new String(
                        bytes(name, (String.join("\n", written) + "\n").getBytes(StandardCharsets.UTF_8)),
                        StandardCharsets.UTF_8)
                .lines()
                .toList();
    }

    public static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    public static byte[] fromHex(String text) {
        return HexFormat.of().parseHex(text);
    }

    /** The files below a folder: their bytes by their paths from there. */
    public static Map<String, byte[]> files(Path folder) throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path file : all.filter(Files::isRegularFile).toList()) {
                files.put(folder.relativize(file).toString(), Files.readAllBytes(file));
            }
        }
        return files;
    }

    /** Copies the files below a folder, readable by their owner alone as key files have to be. */
    public static Path copy(Path from, Path to) throws IOException {
        for (Map.Entry<String, byte[]> file : files(from).entrySet()) {
            Path copy = to.resolve(file.getKey());
            Files.createDirectories(copy.getParent());
            Files.write(copy, file.getValue());
            Files.setPosixFilePermissions(copy, PosixFilePermissions.fromString("rw-------"));
        }
        return to;
    }
}
