package elderseam.fleet.config;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What a member keeps of versions in its own folder, so that it starts again on the one it acted on last, and an operator can look
 * at them while nothing runs: {@code acting.json}, {@code NUMBER.json} of those committed, and the texts of each as files below {@code
 * NUMBER/}. Each file is written whole or not at all.
 */
public final class VersionStore {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path folder;

    public VersionStore(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    private void put(Path file, byte[] bytes) throws IOException {
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        Files.write(fresh, bytes);
        Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Keeps these, which are committed, and drops all others with their texts, but for the one acted on. */
    public void keep(List<ConfigurationVersion> committed) throws IOException {
        Set<Long> numbers = new HashSet<>(Set.of(acting().number()));
        for (ConfigurationVersion v : committed) {
            numbers.add(v.number());
            Path file = folder.resolve(v.number() + ".json");
            if (!Files.exists(file)) {
                put(file, JSON.writeValueAsBytes(v));
            }
        }
        try (var all = Files.list(folder)) {
            for (Path old : all.filter(p -> p.getFileName().toString().matches("\\d{1,18}[.-].*"))
                    .toList()) {
                long number = Long.parseLong(old.getFileName().toString().split("[.-]")[0]);
                if (!numbers.contains(number) && number <= newest(numbers)) { // a higher one may be looked at just now
                    drop(old);
                }
            }
        }
    }

    private static long newest(Set<Long> numbers) {
        return numbers.stream().mapToLong(n -> n).max().orElse(0);
    }

    private static void drop(Path old) throws IOException {
        if (Files.isDirectory(old)) {
            try (var inside = Files.list(old)) {
                for (Path f : inside.toList()) {
                    Files.delete(f);
                }
            }
        }
        Files.delete(old);
    }

    /** Remembers that this one is acted on from now on. */
    public void acting(ConfigurationVersion v) throws IOException {
        put(folder.resolve("acting.json"), JSON.writeValueAsBytes(v));
    }

    /** What was acted on last; {@link ConfigurationVersion#NONE} where nothing was. A file that can't be read is an error: a guess would be worse. */
    public ConfigurationVersion acting() throws IOException {
        Path file = folder.resolve("acting.json");
        return Files.exists(file) ? read(file) : ConfigurationVersion.NONE;
    }

    private static ConfigurationVersion read(Path file) throws IOException {
        ConfigurationVersion v = JSON.readValue(Files.readAllBytes(file), ConfigurationVersion.class);
        if (!v.hash().equals(ConfigurationVersion.hash(v.texts()))) {
            throw new IOException(file + ": its hash is not its content's");
        }
        return v;
    }

    /** All that are kept, oldest first. */
    public List<ConfigurationVersion> all() throws IOException {
        List<ConfigurationVersion> all = new ArrayList<>();
        try (var files = Files.list(folder)) {
            for (Path f : files.filter(p -> p.getFileName().toString().matches("\\d{1,18}\\.json"))
                    .toList()) {
                all.add(read(f));
            }
        }
        all.sort(java.util.Comparator.comparingLong(ConfigurationVersion::number));
        return all;
    }

    /** The texts of a version as files below a folder of its own, which is told. */
    public Path texts(ConfigurationVersion v) throws IOException {
        Path own = Files.createDirectories(
                folder.resolve(v.number() + "-" + v.hash().substring(0, 12)));
        for (var e : v.texts().entrySet()) {
            put(own.resolve(e.getKey()), e.getValue().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
        return own;
    }
}
