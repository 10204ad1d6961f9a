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
import java.util.Optional;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The contents of a version: {@code settings.ini}, written by an operator, with the sections that must be the same on
 * all members ([rules] and [discovery]), and the rule files that {@code rules.files} lists without a directory. A rule
 * file that is listed with a directory is not part of the version: it must exist on every member, otherwise no member
 * adopts the version.
 *
 * <p>Stateless. All methods that accept paths read files, and throw an IOException if a file cannot be read.
 */
public final class VersionContent {
    /** The name of the settings file among the files of a version. */
    public static final String SETTINGS_FILE = "settings.ini";

    private static final String MERGED_SETTINGS = "merged.ini";
    private static final String RULES_SECTION = "rules";
    private static final List<String> VERSIONED_SECTIONS = List.of(RULES_SECTION, "discovery");
    private static final Pattern SECTION_LINE = Pattern.compile("\\[(.*)]");
    private static final Pattern RULE_FILES_LINE = Pattern.compile("files\\s*=(.*)");
    private static final Pattern FILE_NAME_SEPARATOR = Pattern.compile("[ ,]+");
    private static final int DIFF_CONTEXT_LINES = 2;

    private VersionContent() {}

    /**
     * Reads the files of an operator's proposal and returns their contents by file name. Throws a {@link SettingsFault}
     * that lists each section that a version may not contain.
     */
    public static Map<String, String> read(Path file) throws IOException {
        List<String> lines = Settings.lines(file, "the settings file of a version");
        Map<String, String> fileContents = new LinkedHashMap<>();
        fileContents.put(SETTINGS_FILE, toText(lines));
        for (String name : ruleFiles(lines)) {
            if (!hasDirectory(name)) {
                fileContents.put(name, toText(Settings.lines(file.resolveSibling(name), "a rule file")));
            }
        }
        List<String> faults = findForbiddenSections(file, lines);
        if (!faults.isEmpty()) {
            throw new SettingsFault(faults);
        }
        return fileContents;
    }

    private static List<String> findForbiddenSections(Path file, List<String> lines) {
        List<String> faults = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            Optional<String> section = sectionOf(lines.get(i));
            if (section.isPresent() && !VERSIONED_SECTIONS.contains(section.get())) {
                faults.add(file + ":" + (i + 1) + ": '" + lines.get(i).strip()
                        + "' is local to each member, allowed in a version: ["
                        + String.join("], [", VERSIONED_SECTIONS) + "]");
            }
        }
        return faults;
    }

    /** Returns the name of the section that starts on a line; empty if none does. */
    private static Optional<String> sectionOf(String line) {
        Matcher matcher = SECTION_LINE.matcher(line.strip());
        return matcher.matches() ? Optional.of(matcher.group(1)) : Optional.empty();
    }

    /** Returns the names of the files that the setting rules.files lists. */
    private static List<String> ruleFiles(List<String> lines) {
        boolean inRules = false;
        for (String line : lines) {
            String stripped = line.strip();
            Matcher files = RULE_FILES_LINE.matcher(stripped);
            if (stripped.startsWith("[")) {
                inRules = stripped.equals("[" + RULES_SECTION + "]");
            } else if (inRules && files.matches()) {
                String names = files.group(1).strip();
                return names.isEmpty() ? List.of() : List.of(FILE_NAME_SEPARATOR.split(names));
            }
        }
        return List.of();
    }

    private static boolean hasDirectory(String name) {
        return name.contains("/");
    }

    private static String toText(List<String> lines) {
        return String.join("\n", lines) + "\n";
    }

    /**
     * Merges a member's own settings with those of a version, which replace the sections of the member that a version
     * may contain.
     *
     * @param ownSettings the member's settings; the file may be missing
     * @param versionDirectory the directory with the files of the version
     * @return the merged settings, a file in {@code versionDirectory}
     */
    public static Path mergeSettings(Path ownSettings, Path versionDirectory) throws IOException {
        List<String> merged = new ArrayList<>();
        if (Files.exists(ownSettings)) {
            merged.addAll(withoutVersionedSections(Files.readAllLines(ownSettings)));
        }
        merged.addAll(withRuleFilePaths(Files.readAllLines(versionDirectory.resolve(SETTINGS_FILE)), versionDirectory));
        return Files.write(versionDirectory.resolve(MERGED_SETTINGS), merged);
    }

    private static List<String> withoutVersionedSections(List<String> lines) {
        List<String> kept = new ArrayList<>();
        boolean isVersioned = false;
        for (String line : lines) {
            Optional<String> section = sectionOf(line);
            if (section.isPresent()) {
                isVersioned = VERSIONED_SECTIONS.contains(section.get());
            }
            if (!isVersioned) {
                kept.add(line);
            }
        }
        return kept;
    }

    /** Replaces the names of rule files that belong to the version by their paths in {@code versionDirectory}. */
    private static List<String> withRuleFilePaths(List<String> lines, Path versionDirectory) {
        List<String> paths = ruleFiles(lines).stream()
                .map(name -> hasDirectory(name)
                        ? name
                        : versionDirectory.resolve(name).toString())
                .toList();
        String filesLine = "files = " + String.join(" ", paths);
        return lines.stream()
                .map(line -> RULE_FILES_LINE.matcher(line.strip()).matches() ? filesLine : line)
                .toList();
    }

    /** Returns the differences between the files of two versions, as the lines of unified diffs. */
    public static List<String> diff(ConfigurationVersion from, ConfigurationVersion to) {
        TreeSet<String> names = new TreeSet<>(from.fileContents().keySet());
        names.addAll(to.fileContents().keySet());
        List<String> diffs = new ArrayList<>();
        for (String name : names) {
            List<String> fromLines = linesOf(from, name);
            List<String> toLines = linesOf(to, name);
            diffs.addAll(UnifiedDiffUtils.generateUnifiedDiff(
                    from.number() + "/" + name,
                    to.number() + "/" + name,
                    fromLines,
                    DiffUtils.diff(fromLines, toLines),
                    DIFF_CONTEXT_LINES));
        }
        return diffs;
    }

    private static List<String> linesOf(ConfigurationVersion version, String name) {
        return version.fileContents().getOrDefault(name, "").lines().toList();
    }
}
