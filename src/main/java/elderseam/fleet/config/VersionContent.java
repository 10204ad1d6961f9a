package elderseam.fleet.config;

import com.github.difflib.DiffUtils;
import com.github.difflib.UnifiedDiffUtils;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * What a version holds: {@code settings.ini}, an operator's file of the sections that a fleet has to agree on ([rules] and [discovery]),
 * and the files that its rules.files names without a folder, by their names. A file that is named with a folder is each member's own:
 * it has to be there on all, or none adopts the version.
 */
public final class VersionContent {
    public static final String SETTINGS = "settings.ini";
    private static final List<String> SECTIONS = List.of("rules", "discovery");

    private VersionContent() {}

    /** Reads what an operator proposes; every fault of its form is told. */
    public static Map<String, String> read(Path file) throws IOException {
        List<String> lines = Settings.lines(file, "a version's settings");
        List<String> faults = new ArrayList<>();
        Map<String, String> texts = new LinkedHashMap<>();
        texts.put(SETTINGS, String.join("\n", lines) + "\n");
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (line.matches("\\[.*]") && !SECTIONS.contains(line.substring(1, line.length() - 1))) {
                faults.add(file + ":" + (i + 1) + ": '" + line + "' is each member's own, allowed in a version: ["
                        + String.join("], [", SECTIONS) + "]");
            }
        }
        for (String name : names(lines)) {
            if (!name.contains("/")) {
                texts.put(name, String.join("\n", Settings.lines(file.resolveSibling(name), "a file of rules")) + "\n");
            }
        }
        if (!faults.isEmpty()) {
            throw new SettingsFault(faults);
        }
        return texts;
    }

    /** The files that rules.files names. */
    private static List<String> names(List<String> lines) {
        boolean rules = false;
        for (String line : lines) {
            String bare = line.strip();
            if (bare.startsWith("[")) {
                rules = bare.equals("[rules]");
            } else if (rules && bare.matches("files\\s*=.*")) {
                String value = bare.substring(bare.indexOf('=') + 1).strip();
                return value.isEmpty() ? List.of() : List.of(value.split("[ ,]+"));
            }
        }
        return List.of();
    }

    /**
     * A member's own settings with a version's in their place: a file {@code merged.ini} below {@code texts}, where the version's texts
     * lie as files. The member's own sections of those kinds do not count.
     */
    public static Path merged(Path own, Path texts) throws IOException {
        List<String> all = new ArrayList<>();
        boolean skips = false;
        for (String line : Files.exists(own) ? Files.readAllLines(own) : List.<String>of()) {
            String bare = line.strip();
            skips = bare.matches("\\[.*]") ? SECTIONS.contains(bare.substring(1, bare.length() - 1)) : skips;
            if (!skips) {
                all.add(line);
            }
        }
        List<String> told = Files.readAllLines(texts.resolve(SETTINGS));
        List<String> names = names(told);
        for (String line : told) {
            all.add(
                    line.strip().matches("files\\s*=.*")
                            ? "files = "
                                    + String.join(
                                            " ",
                                            names.stream()
                                                    .map(n -> n.contains("/")
                                                            ? n
                                                            : texts.resolve(n).toString())
                                                    .toList())
                            : line);
        }
        return Files.write(texts.resolve("merged.ini"), all);
    }

    /** What changes from one version to another, as unified diffs of their texts. */
    public static List<String> diff(ConfigurationVersion a, ConfigurationVersion b) {
        List<String> all = new ArrayList<>();
        TreeSet<String> names = new TreeSet<>(a.texts().keySet());
        names.addAll(b.texts().keySet());
        for (String name : names) {
            List<String> from = a.texts().getOrDefault(name, "").lines().toList(),
                    to = b.texts().getOrDefault(name, "").lines().toList();
            all.addAll(UnifiedDiffUtils.generateUnifiedDiff(
                    a.number() + "/" + name, b.number() + "/" + name, from, DiffUtils.diff(from, to), 2));
        }
        return all;
    }
}
