package elderseam.settings;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The checked values of a settings file, and the line that each comes from. Immutable. A file with any fault is not read at
 * all. For a file without settings, as the one that ships, neither the INI library nor the conflicts are loaded, because
 * that would lengthen every start.
 */
public final class Settings {
    private static final int MAX_FILE_BYTES = 1 << 20;

    private final String file;
    private final Map<String, IniFile.Value> values; // by the keys' paths; a key that is not set is absent

    private Settings(String file, Map<String, IniFile.Value> values) {
        this.file = file;
        this.values = values;
    }

    /** Settings without a file: every value is its default. */
    public static Settings none() {
        return new Settings("", Map.of());
    }

    /**
     * Reads and checks a settings file.
     *
     * @throws SettingsFault with every fault of the file, if it has any
     * @throws IOException if it can't be read
     */
    public static Settings read(Path file) throws IOException {
        List<String> lines = lines(file, "a settings file");
        String name = file.toString();
        if (lines.stream().allMatch(Settings::isBlankOrComment)) {
            return new Settings(name, Map.of());
        }
        List<String> faults = new ArrayList<>();
        Settings settings = new Settings(name, IniFile.read(name, lines, faults));
        faults.addAll(settings.valueFaults());
        if (faults.isEmpty()) {
            faults.addAll(settings.conflictFaults());
        }
        if (!faults.isEmpty()) {
            throw new SettingsFault(faults);
        }
        return settings;
    }

    private static boolean isBlankOrComment(String line) {
        String stripped = line.strip();
        return stripped.isEmpty() || stripped.startsWith("#") || stripped.startsWith(";");
    }

    /**
     * Reads the lines of a file that an operator wrote, of at most a megabyte.
     *
     * @param what the kind of file, for the fault of one that is larger
     * @throws SettingsFault if the file is missing, too large or no UTF-8 text
     * @throws IOException if it can't be read
     */
    public static List<String> lines(Path file, String what) throws IOException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new SettingsFault(
                        List.of(file + ": more than " + MAX_FILE_BYTES + " bytes, " + what + " is smaller"));
            }
            return Files.readAllLines(file);
        } catch (NoSuchFileException e) {
            throw new SettingsFault(List.of(file + ": there is no such file"));
        } catch (CharacterCodingException e) {
            throw new SettingsFault(List.of(file + ": not UTF-8 text"));
        }
    }

    /** Unknown sections and keys, and values that are not allowed, in the order of the file. */
    private List<String> valueFaults() {
        Map<String, SettingKey<?>> keysByPath = new LinkedHashMap<>();
        SettingKeys.ALL.forEach(key -> keysByPath.put(key.path(), key));
        List<String> faults = new ArrayList<>();
        values.forEach((path, value) -> {
            String place = file + ":" + value.line() + ": " + path + ": ";
            SettingKey<?> key = keysByPath.get(path);
            if (key == null) {
                faults.add(place + unknownKey(path.substring(0, path.indexOf('.'))));
            } else if (key.parse(value.text()).isEmpty()) {
                faults.add(place + "'" + value.text() + "' can't be used, allowed: " + key.allowed());
            }
        });
        return faults;
    }

    /** Why no key of this section is known by that name. */
    private static String unknownKey(String section) {
        List<String> namesInSection = SettingKeys.ALL.stream()
                .filter(key -> key.section().equals(section))
                .map(SettingKey::name)
                .toList();
        if (!namesInSection.isEmpty()) {
            return "unknown key, allowed: " + String.join(", ", namesInSection);
        }
        List<String> sections =
                SettingKeys.ALL.stream().map(SettingKey::section).distinct().toList();
        return "unknown section, allowed: " + String.join(", ", sections);
    }

    private List<String> conflictFaults() {
        List<String> faults = new ArrayList<>();
        for (SettingConflict conflict : SettingConflicts.among(this)) {
            IniFile.Value value = values.get(conflict.key().path());
            String place = value == null ? file + ": " : file + ":" + value.line() + ": ";
            faults.add(place + conflict.key().path() + ": " + conflict.message());
        }
        return faults;
    }

    /** The value of a key: the file's, or its default. */
    public <T> T get(SettingKey<T> key) {
        IniFile.Value value = values.get(key.path());
        return value == null ? key.defaultValue() : key.parse(value.text()).orElseThrow();
    }

    /** Whether the file sets a key, be it to its default. */
    public boolean isSet(SettingKey<?> key) {
        return values.containsKey(key.path());
    }

    /** The value of a key as text. */
    public String text(SettingKey<?> key) {
        IniFile.Value value = values.get(key.path());
        return value == null ? key.defaultText() : value.text();
    }

    /** Where a key's value comes from: {@code file:line}, or {@code default}. */
    public String origin(SettingKey<?> key) {
        IniFile.Value value = values.get(key.path());
        return value == null ? "default" : file + ":" + value.line();
    }

    /** The paths of the keys whose values differ in other settings, though a change takes effect at a start only. */
    public List<String> changedStartKeys(Settings other) {
        return SettingKeys.ALL.stream()
                .filter(key -> !key.reloadable() && !text(key).equals(other.text(key)))
                .map(SettingKey::path)
                .toList();
    }
}
