package elderseam.wiring;

import elderseam.cloudevents.EventConfig;
import elderseam.settings.Keys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The operator's file, or one of before: {@code .properties} held the events' settings alone. */
final class OperatorFile {
    /** What it says: the second front's settings, and all of them. */
    record Read(EventConfig events, Settings settings) {}

    private OperatorFile() {}

    static Read read(Path file) throws IOException {
        if (old(file)) {
            System.err.println(
                    file + ": an events' file of before, its settings are read; " + Keys.FILE + " has taken its place");
            return new Read(EventConfig.old(file), Settings.none());
        }
        Settings settings = settings(file);
        return new Read(EventConfig.of(settings), settings);
    }

    /** A file that was not asked for may be absent; one of before tells nothing that could be read again. */
    static Settings settings(Path file) throws IOException {
        return old(file) || file.equals(Path.of(Keys.FILE)) && !Files.exists(file)
                ? Settings.none()
                : Settings.read(file, Keys.ALL, Keys.CONTRADICTIONS);
    }

    private static boolean old(Path file) {
        return file.toString().endsWith(".properties");
    }
}
