package elderseam.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What changes with files, read without opening them: two stamps of the same files are equal while the files are
 * unchanged. Immutable.
 */
final class FileStamps {
    private record Stamp(Object modified, long bytes, String key) {
        static Optional<Stamp> of(Path file) {
            try {
                BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
                return Optional.of(new Stamp(
                        attributes.lastModifiedTime(), attributes.size(), String.valueOf(attributes.fileKey())));
            } catch (IOException e) {
                return Optional.empty(); // there is no such file now
            }
        }
    }

    private final Map<Path, Optional<Stamp>> stamps = new LinkedHashMap<>();

    /** The stamps of these files now. */
    FileStamps(Collection<Path> files) {
        files.forEach(file -> stamps.put(file, Stamp.of(file)));
    }

    /** These stamps, and those of further files now. */
    FileStamps with(Collection<Path> furtherFiles) {
        FileStamps all = new FileStamps(furtherFiles);
        all.stamps.putAll(stamps);
        return all;
    }

    /** The stamps of the same files now. */
    FileStamps again() {
        return new FileStamps(stamps.keySet());
    }

    /** Whether the files are those of the other stamps, unchanged. */
    boolean isUnchangedSince(FileStamps earlier) {
        return stamps.equals(earlier.stamps);
    }
}
