package elderseam.app;

import elderseam.frontend.cloudevents.EventConfiguration;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the operator's settings file. A {@code .properties} file is of an earlier release, and holds the settings of
 * the CloudEvents frontend alone.
 */
final class OperatorSettings {
    private static final String LEGACY_SUFFIX = ".properties";

    /** A file's settings: those of the CloudEvents frontend, and all of them (none, for a legacy file). */
    record Loaded(EventConfiguration cloudEvents, Settings settings) {}

    private OperatorSettings() {}

    /** Reads the file of either format; an IOException (a SettingsFault for its content) says what is wrong with it. */
    static Loaded load(Path file) throws IOException {
        if (isLegacy(file)) {
            System.err.println(file + ": an events' file of before, its settings are read; " + SettingKeys.FILE
                    + " has taken its place");
            return new Loaded(EventConfiguration.ofPropertiesFile(file), Settings.none());
        }
        Settings settings = settings(file);
        return new Loaded(EventConfiguration.of(settings), settings);
    }

    /**
     * The settings; none where the default file is absent, or for a legacy file, of which nothing can be read again.
     */
    static Settings settings(Path file) throws IOException {
        boolean absentDefault = file.equals(Path.of(SettingKeys.FILE)) && !Files.exists(file);
        if (isLegacy(file) || absentDefault) {
            return Settings.none();
        }
        return Settings.read(file, SettingKeys.ALL, SettingKeys.CONTRADICTIONS);
    }

    private static boolean isLegacy(Path file) {
        return file.toString().endsWith(LEGACY_SUFFIX);
    }
}
