package elderseam.cloudevents;

import elderseam.core.Clock;
import elderseam.settings.Keys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Properties;

/**
 * Where the front listens (empty: off), how long the end of an event is remembered, and, with a directory of an ACME
 * authority, for which names and where certificates are had. {@code origins} may validate themselves as web hooks, to
 * send at {@code rate} a minute (0: any).
 */
public record EventConfig(
        String listen,
        long rememberNs,
        String directory,
        List<String> names,
        Path folder,
        String challenges,
        List<String> origins,
        int rate) {
    public static EventConfig of(Settings s) {
        String listen = s.get(Keys.EVENTS_LISTEN), challenges = s.get(Keys.ACME_CHALLENGES);
        return new EventConfig(
                listen.equals("off") ? "" : listen,
                s.get(Keys.EVENTS_REMEMBER_S) * 1_000 * Clock.MS,
                s.get(Keys.ACME_DIRECTORY),
                s.get(Keys.ACME_NAMES),
                Path.of(s.get(Keys.ACME_FOLDER)),
                challenges.equals("off") ? "" : challenges,
                s.get(Keys.EVENTS_WEBHOOK_ORIGINS).stream()
                        .map(o -> o.toLowerCase(Locale.ROOT))
                        .toList(),
                s.get(Keys.EVENTS_WEBHOOK_RATE).intValue());
    }

    /** An events' file as it was before {@code deploy/elderseam.ini}; a file that is not there is off. */
    public static EventConfig old(Path file) throws IOException {
        Properties p = new Properties();
        if (Files.exists(file)) {
            try (Reader in = Files.newBufferedReader(file)) {
                p.load(in);
            }
        }
        String listen = p.getProperty("listen", "off").strip();
        long seconds = Long.parseLong(p.getProperty("remember_s", "3600").strip());
        return new EventConfig(
                listen.equals("off") ? "" : listen,
                seconds * 1_000 * Clock.MS,
                p.getProperty("acme.directory", "").strip(),
                List.of(p.getProperty("acme.names", "").strip().split(" +")),
                Path.of(p.getProperty("acme.folder", "certificates").strip()),
                p.getProperty("acme.challenges", "").strip(),
                List.of(),
                0);
    }
}
