package elderseam.compat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The files below a folder, to be compared with a recorded folder or copied from it. */
public final class FolderContents {
    private static final String OWNER_ONLY = "rw-------";

    private FolderContents() {}

    /** The bytes of each regular file below a folder, by its path from there. */
    public static Map<String, byte[]> read(Path folder) throws IOException {
        Map<String, byte[]> contents = new TreeMap<>();
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path file : paths.filter(Files::isRegularFile).toList()) {
                contents.put(folder.relativize(file).toString(), Files.readAllBytes(file));
            }
        }
        return contents;
    }

    /**
     * Copies the files below a folder, readable by their owner alone as key files have to be.
     *
     * @return {@code to}
     */
    public static Path copyForOwner(Path from, Path to) throws IOException {
        for (Map.Entry<String, byte[]> file : read(from).entrySet()) {
            Path copy = to.resolve(file.getKey());
            Files.createDirectories(copy.getParent());
            Files.write(copy, file.getValue());
            Files.setPosixFilePermissions(copy, PosixFilePermissions.fromString(OWNER_ONLY));
        }
        return to;
    }
}
