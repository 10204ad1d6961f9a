package elderseam.settings;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The values of a settings file, whole and checked, and where each comes from. A file is taken with no fault at all or not
 * at all. Where every line is blank or a comment, as in the file that ships, the library that reads INI is not loaded: what
 * is off costs nothing.
 */
public final class Settings {
    /** A value as told, and the line that told it. */
    private record Told(String text, int line) {}

    private static final int MOST_BYTES = 1 << 20;

    private final String file;
    private final Map<String, Told> told;

    private Settings(String file, Map<String, Told> told) {
        this.file = file;
        this.told = told;
    }

    /** Nothing told: every value is its default. */
    public static Settings none() {
        return new Settings("", Map.of());
    }

    /** Reads and checks a file against these keys; {@link ConflictingSettings}s that its values fulfil are faults too. */
    public static Settings read(
            Path file, Collection<? extends SettingKey<?>> keys, List<ConflictingSettings> contradictions)
            throws IOException {
        List<String> lines = lines(file, "a settings file");
        boolean empty =
                lines.stream().map(String::strip).allMatch(l -> l.isEmpty() || l.startsWith("#") || l.startsWith(";"));
        Settings settings = new Settings(file.toString(), empty ? Map.of() : new LinkedHashMap<>());
        List<String> faults = new ArrayList<>();
        if (!empty) {
            IniFile.read(file.toString(), lines, faults)
                    .forEach((path, value) -> settings.told.put(path, new Told(value.text(), value.line())));
        }
        settings.check(keys, faults);
        if (faults.isEmpty()) {
            for (ConflictingSettings c : contradictions) {
                if (c.holds().test(settings)) {
                    faults.add(settings.place(c.at()) + c.at().path() + ": " + c.words());
                }
            }
        }
        if (!faults.isEmpty()) {
            throw new SettingsFault(faults);
        }
        return settings;
    }

    /** The lines of an operator's file of at most a megabyte; {@code what} it is, for the fault where it is larger. */
    public static List<String> lines(Path file, String what) throws IOException {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new SettingsFault(
                        List.of(file + ": more than " + MOST_BYTES + " bytes, " + what + " is smaller"));
            }
            return Files.readAllLines(file);
        } catch (NoSuchFileException e) {
            throw new SettingsFault(List.of(file + ": there is no such file"));
        } catch (CharacterCodingException e) {
            throw new SettingsFault(List.of(file + ": not UTF-8 text"));
        }
    }

    private void check(Collection<? extends SettingKey<?>> keys, List<String> faults) {
        Map<String, SettingKey<?>> known = new LinkedHashMap<>();
        keys.forEach(k -> known.put(k.path(), k));
        told.forEach((path, value) -> {
            SettingKey<?> key = known.get(path);
            String at = file + ":" + value.line + ": " + path + ": ";
            String section = path.substring(0, path.indexOf('.'));
            List<String> siblings = known.values().stream()
                    .filter(k -> k.section().equals(section))
                    .map(SettingKey::name)
                    .toList();
            if (siblings.isEmpty()) {
                faults.add(at + "unknown section, allowed: "
                        + String.join(
                                ", ",
                                known.values().stream()
                                        .map(SettingKey::section)
                                        .distinct()
                                        .toList()));
            } else if (key == null) {
                faults.add(at + "unknown key, allowed: " + String.join(", ", siblings));
            } else if (key.read().apply(value.text) == null) {
                faults.add(at + "'" + value.text + "' can't be used, allowed: " + key.allowed());
            }
        });
    }

    private String place(SettingKey<?> key) {
        Told t = told.get(key.path());
        return file + (t == null ? ": " : ":" + t.line + ": ");
    }

    /** A value that the file tells, or its default. */
    public <T> T get(SettingKey<T> key) {
        Told t = told.get(key.path());
        return t == null ? key.byDefault() : key.read().apply(t.text);
    }

    public boolean tells(SettingKey<?> key) {
        return told.containsKey(key.path());
    }

    /** The value as text. */
    public String text(SettingKey<?> key) {
        Told t = told.get(key.path());
        return t == null ? key.absent() : t.text;
    }

    /** Where a value comes from: {@code file:line}, or {@code default}. */
    public String origin(SettingKey<?> key) {
        Told t = told.get(key.path());
        return t == null ? "default" : file + ":" + t.line;
    }

    /** The keys whose values differ in another reading, those that can change live or those that can't. */
    public List<String> changed(Settings other, Collection<? extends SettingKey<?>> keys, boolean live) {
        return keys.stream()
                .filter(k -> k.live() == live && !text(k).equals(other.text(k)))
                .map(SettingKey::path)
                .toList();
    }
}
