package elderseam.cloudevents;

import elderseam.core.Clock;
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
public record EventConfig(String listen, long rememberNs, String directory, List<String> names, Path folder,
                          String challenges, List<String> origins, int rate) {
    public static EventConfig read(Path file) throws IOException {
        Properties p = new Properties();
        if (Files.exists(file)) {
            try (Reader in = Files.newBufferedReader(file)) {
                p.load(in);
            }
        }
        String listen = p.getProperty("listen", "off").strip();
        long seconds = Long.parseLong(p.getProperty("remember_s", "3600").strip());
        return new EventConfig(listen.equals("off") ? "" : listen, seconds * 1_000 * Clock.MS,
                p.getProperty("acme.directory", "").strip(), List.of(p.getProperty("acme.names", "").strip().split(" +")),
                Path.of(p.getProperty("acme.folder", "certificates").strip()),
                p.getProperty("acme.challenges", "").strip(), origins(p.getProperty("webhook.origins", "off").strip()),
                rate(p.getProperty("webhook.rate_per_minute", "any").strip()));
    }

    private static List<String> origins(String told) {
        return told.equals("off") || told.isEmpty() ? List.of() : List.of(told.toLowerCase(Locale.ROOT).split("[ ,]+"));
    }

    private static int rate(String told) {
        if (!told.matches("any|[1-9]\\d{0,8}")) {
            throw new IllegalArgumentException("webhook.rate_per_minute is '" + told + "', not any or a number above 0");
        }
        return told.equals("any") ? 0 : Integer.parseInt(told);
    }
}
