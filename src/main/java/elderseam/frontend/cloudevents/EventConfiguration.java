package elderseam.frontend.cloudevents;

import elderseam.core.Clock;
import elderseam.settings.SettingKeys;
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
public record EventConfiguration(
        String listen,
        long rememberNs,
        String directory,
        List<String> names,
        Path folder,
        String challenges,
        List<String> origins,
        int rate) {
    public static EventConfiguration of(Settings s) {
        String listen = s.get(SettingKeys.EVENTS_LISTEN), challenges = s.get(SettingKeys.ACME_CHALLENGES);
        return new EventConfiguration(
                listen.equals("off") ? "" : listen,
                s.get(SettingKeys.EVENTS_REMEMBER_S) * 1_000 * Clock.MS,
                s.get(SettingKeys.ACME_DIRECTORY),
                s.get(SettingKeys.ACME_NAMES),
                Path.of(s.get(SettingKeys.ACME_FOLDER)),
                challenges.equals("off") ? "" : challenges,
                s.get(SettingKeys.EVENTS_WEBHOOK_ORIGINS).stream()
                        .map(o -> o.toLowerCase(Locale.ROOT))
                        .toList(),
                s.get(SettingKeys.EVENTS_WEBHOOK_RATE_PER_MINUTE).intValue());
    }

    /** An events' file as it was before {@code deploy/elderseam.ini}; a file that is not there is off. */
    public static EventConfiguration old(Path file) throws IOException {
        Properties p = new Properties();
        if (Files.exists(file)) {
            try (Reader in = Files.newBufferedReader(file)) {
                p.load(in);
            }
        }
        String listen = p.getProperty("listen", "off").strip();
        long seconds = Long.parseLong(p.getProperty("remember_s", "3600").strip());
        return new EventConfiguration(
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
