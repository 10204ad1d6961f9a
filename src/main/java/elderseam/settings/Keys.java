package elderseam.settings;

import java.util.List;

/** Every key of {@code deploy/elderseam.ini}. */
public final class Keys {
    /** Where that file is unless told. */
    public static final String FILE = "deploy/elderseam.ini";

    private static final String NAME = "[A-Za-z0-9._-]{1,64}", PATH = "[^\\x00-\\x1f]{1,4096}";

    public static final Key<String> EVENTS_LISTEN = Key.listen("events", "listen");
    public static final Key<Long> EVENTS_REMEMBER_S = Key.whole("events", "remember_s", "seconds", 1, 2_592_000, 3_600, false);
    public static final Key<List<String>> EVENTS_WEBHOOK_ORIGINS = Key.words("events", "webhook_origins",
            "names of senders apart by spaces, or *", "\\*|" + NAME, false);
    public static final Key<Long> EVENTS_WEBHOOK_RATE = Key.whole("events", "webhook_rate_per_minute", "requests a minute, 0 for any",
            0, 999_999_999, 0, false);

    public static final Key<String> ACME_DIRECTORY = Key.text("acme", "directory", "an http or https URL", "https?://[!-~]+", "", false);
    public static final Key<List<String>> ACME_NAMES = Key.words("acme", "names", "DNS names apart by spaces", NAME, false);
    public static final Key<String> ACME_FOLDER = Key.text("acme", "folder", "a path", PATH, "certificates", false);
    public static final Key<String> ACME_CHALLENGES = Key.listen("acme", "challenges");

    public static final List<Key<?>> ALL = List.of(EVENTS_LISTEN, EVENTS_REMEMBER_S, EVENTS_WEBHOOK_ORIGINS, EVENTS_WEBHOOK_RATE,
            ACME_DIRECTORY, ACME_NAMES, ACME_FOLDER, ACME_CHALLENGES);

    public static final List<Contradiction> CONTRADICTIONS = List.of(
            new Contradiction(ACME_DIRECTORY, "is set while events.listen is off, allowed: with a front that serves",
                    s -> !s.get(ACME_DIRECTORY).isEmpty() && s.get(EVENTS_LISTEN).equals("off")),
            new Contradiction(ACME_NAMES, "is empty, allowed: at least one name with acme.directory",
                    s -> !s.get(ACME_DIRECTORY).isEmpty() && s.get(ACME_NAMES).isEmpty()),
            new Contradiction(ACME_CHALLENGES, "is off, allowed: ADDRESS:PORT with acme.directory",
                    s -> !s.get(ACME_DIRECTORY).isEmpty() && s.get(ACME_CHALLENGES).equals("off")),
            new Contradiction(EVENTS_WEBHOOK_RATE, "is set without events.webhook_origins, allowed: with a sender that may ask",
                    s -> s.get(EVENTS_WEBHOOK_RATE) > 0 && s.get(EVENTS_WEBHOOK_ORIGINS).isEmpty()));

    private Keys() {}
}
