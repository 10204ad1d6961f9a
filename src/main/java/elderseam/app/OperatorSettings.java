package elderseam.app;

import elderseam.frontend.cloudevents.EventConfiguration;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The operator's file, or one of before: {@code .properties} held the events' settings alone. */
final class OperatorSettings {
    /** What it says: the second front's settings, and all of them. */
    record Read(EventConfiguration events, Settings settings) {}

    private OperatorSettings() {}

    static Read read(Path file) throws IOException {
        if (old(file)) {
            System.err.println(file + ": an events' file of before, its settings are read; " + SettingKeys.FILE
                    + " has taken its place");
            return new Read(EventConfiguration.old(file), Settings.none());
        }
        Settings settings = settings(file);
        return new Read(EventConfiguration.of(settings), settings);
    }

    /** A file that was not asked for may be absent; one of before tells nothing that could be read again. */
    static Settings settings(Path file) throws IOException {
        return old(file) || file.equals(Path.of(SettingKeys.FILE)) && !Files.exists(file)
                ? Settings.none()
                : Settings.read(file, SettingKeys.ALL, SettingKeys.CONTRADICTIONS);
    }

    private static boolean old(Path file) {
        return file.toString().endsWith(".properties");
    }
}
