package elderseam.fleet.config;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Stores configuration versions in a member's directory, so that the member restarts with the version that was active
 * last, and so that an operator can inspect the versions while no dispatcher is running. The directory contains {@code
 * acting.json}, {@code NUMBER.json} for each committed version, and the files of a version below {@code NUMBER-HASH/}.
 * Each file is replaced atomically.
 *
 * <p>Not thread-safe: the caller must not write two files at the same time. All methods throw an IOException if the
 * directory cannot be read or written.
 */
public final class VersionStore {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ACTING_FILE = "acting.json";
    private static final Pattern VERSION_FILE = Pattern.compile("(\\d{1,18})\\.json");
    private static final Pattern NUMBERED_ENTRY = Pattern.compile("(\\d{1,18})[.-].*");

    private final Path directory;

    /** Creates the directory if it is missing. */
    public VersionStore(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
    }

    /**
     * Saves the committed versions and deletes all others with their files, except the active version. Entries with a
     * number above the greatest saved one are kept, because they may belong to a proposal that is being validated.
     */
    public void retain(List<ConfigurationVersion> committed) throws IOException {
        Set<Long> retained = new HashSet<>();
        retained.add(loadActive().number());
        for (ConfigurationVersion version : committed) {
            retained.add(version.number());
            Path file = directory.resolve(version.number() + ".json");
            if (!Files.exists(file)) {
                writeAtomically(file, JSON.writeValueAsBytes(version));
            }
        }
        long greatestNumber = retained.stream().mapToLong(Long::longValue).max().orElseThrow();
        for (Path entry : entries(NUMBERED_ENTRY)) {
            long number = numberOf(entry);
            if (!retained.contains(number) && number <= greatestNumber) {
                delete(entry);
            }
        }
    }

    private List<Path> entries(Pattern namePattern) throws IOException {
        try (Stream<Path> allEntries = Files.list(directory)) {
            return allEntries
                    .filter(entry ->
                            namePattern.matcher(entry.getFileName().toString()).matches())
                    .toList();
        }
    }

    private static long numberOf(Path entry) {
        Matcher matcher = NUMBERED_ENTRY.matcher(entry.getFileName().toString());
        if (!matcher.matches()) {
            throw new IllegalArgumentException(entry + ": the name does not start with a version number");
        }
        return Long.parseLong(matcher.group(1));
    }

    private static void delete(Path entry) throws IOException {
        if (Files.isDirectory(entry)) {
            try (Stream<Path> files = Files.list(entry)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
        }
        Files.delete(entry);
    }

    /** Saves the version as the active one. */
    public void saveActive(ConfigurationVersion version) throws IOException {
        writeAtomically(directory.resolve(ACTING_FILE), JSON.writeValueAsBytes(version));
    }

    /**
     * Returns the version that was active last, or {@link ConfigurationVersion#NONE} if there was none. Throws an
     * IOException if the file cannot be read, because assuming another version would be worse than failing.
     */
    public ConfigurationVersion loadActive() throws IOException {
        Path file = directory.resolve(ACTING_FILE);
        return Files.exists(file) ? load(file) : ConfigurationVersion.NONE;
    }

    /** Returns all committed versions in the directory, oldest first. */
    public List<ConfigurationVersion> loadAll() throws IOException {
        List<ConfigurationVersion> versions = new ArrayList<>();
        for (Path file : entries(VERSION_FILE)) {
            versions.add(load(file));
        }
        versions.sort(Comparator.comparingLong(ConfigurationVersion::number));
        return versions;
    }

    private static ConfigurationVersion load(Path file) throws IOException {
        ConfigurationVersion version = JSON.readValue(Files.readAllBytes(file), ConfigurationVersion.class);
        if (!version.hash().equals(ConfigurationVersion.hash(version.fileContents()))) {
            throw new IOException(file + ": the stored hash does not match the contents");
        }
        return version;
    }

    /** Writes the files of a version and returns their directory. */
    public Path writeFiles(ConfigurationVersion version) throws IOException {
        Path versionDirectory =
                Files.createDirectories(directory.resolve(version.number() + "-" + version.shortHash()));
        for (Map.Entry<String, String> content : version.fileContents().entrySet()) {
            writeAtomically(
                    versionDirectory.resolve(content.getKey()),
                    content.getValue().getBytes(StandardCharsets.UTF_8));
        }
        return versionDirectory;
    }

    private static void writeAtomically(Path file, byte[] bytes) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        Files.write(temporary, bytes);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
