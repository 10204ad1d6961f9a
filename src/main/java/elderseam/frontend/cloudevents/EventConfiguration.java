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
 * The operator's settings of the CloudEvents frontend. Immutable.
 *
 * @param listenAddress where senders connect, as {@code host:port}; empty where the frontend is off
 * @param outcomeRetentionNs how long the final outcome of an event is remembered
 * @param acmeDirectory URL of the directory of an ACME authority; empty where the frontend serves without TLS
 * @param certificateNames host names of the certificate
 * @param certificateFolder where the certificate and its keys are stored
 * @param challengeAddress where the authority connects, as {@code host:port}; may be empty
 * @param webHookOrigins as of {@link WebHookHandshake#allowedOrigins}
 * @param webHookRatePerMinute as of {@link WebHookHandshake#ratePerMinute}
 */
public record EventConfiguration(
        String listenAddress,
        long outcomeRetentionNs,
        String acmeDirectory,
        List<String> certificateNames,
        Path certificateFolder,
        String challengeAddress,
        List<String> webHookOrigins,
        int webHookRatePerMinute) {
    private static final String OFF = "off";
    private static final long MS_PER_SECOND = 1_000;

    /** The configuration by the operator's settings. */
    public static EventConfiguration of(Settings settings) {
        return new EventConfiguration(
                emptyIfOff(settings.get(SettingKeys.EVENTS_LISTEN)),
                nanoseconds(settings.get(SettingKeys.EVENTS_REMEMBER_S)),
                settings.get(SettingKeys.ACME_DIRECTORY),
                settings.get(SettingKeys.ACME_NAMES),
                Path.of(settings.get(SettingKeys.ACME_FOLDER)),
                emptyIfOff(settings.get(SettingKeys.ACME_CHALLENGES)),
                settings.get(SettingKeys.EVENTS_WEBHOOK_ORIGINS).stream()
                        .map(origin -> origin.toLowerCase(Locale.ROOT))
                        .toList(),
                settings.get(SettingKeys.EVENTS_WEBHOOK_RATE).intValue());
    }

    /**
     * The configuration by a properties file, as deployments had it before {@code deploy/elderseam.ini}. Without the
     * file the frontend is off.
     *
     * @throws IOException if the file can't be read
     * @throws NumberFormatException if {@code remember_s} is no number
     */
    public static EventConfiguration ofPropertiesFile(Path file) throws IOException {
        Properties properties = new Properties();
        if (Files.exists(file)) {
            try (Reader reader = Files.newBufferedReader(file)) {
                properties.load(reader);
            }
        }
        return new EventConfiguration(
                emptyIfOff(value(properties, "listen", OFF)),
                nanoseconds(Long.parseLong(value(properties, "remember_s", "3600"))),
                value(properties, "acme.directory", ""),
                List.of(value(properties, "acme.names", "").split(" +")),
                Path.of(value(properties, "acme.folder", "certificates")),
                value(properties, "acme.challenges", ""),
                List.of(),
                0);
    }

    private static String value(Properties properties, String key, String absent) {
        return properties.getProperty(key, absent).strip();
    }

    private static String emptyIfOff(String address) {
        return address.equals(OFF) ? "" : address;
    }

    private static long nanoseconds(long seconds) {
        return seconds * MS_PER_SECOND * Clock.MS;
    }
}
