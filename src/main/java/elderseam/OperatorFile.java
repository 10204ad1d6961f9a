package elderseam;

import elderseam.cloudevents.EventConfig;
import elderseam.settings.Keys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The operator's file, or one of before: {@code .properties} held the events' settings alone. */
final class OperatorFile {
    private OperatorFile() {}

    static EventConfig events(Path file) throws IOException {
        if (file.toString().endsWith(".properties")) {
            System.err.println(file + ": an events' file of before, its settings are read; " + Keys.FILE + " has taken its place");
            return EventConfig.old(file);
        }
        return EventConfig.of(settings(file));
    }

    /** A file that was not asked for may be absent. */
    static Settings settings(Path file) throws IOException {
        return file.equals(Path.of(Keys.FILE)) && !Files.exists(file) ? Settings.none()
                : Settings.read(file, Keys.ALL, Keys.CONTRADICTIONS);
    }
}
