package elderseam.settings;

import java.util.List;

/** Every key of {@code deploy/elderseam.ini}. */
public final class SettingKeys {
    /** Where that file is unless told. */
    public static final String FILE = "deploy/elderseam.ini";

    private static final String NAME = "[A-Za-z0-9._-]{1,64}", PATH = "[^\\x00-\\x1f]{1,4096}";

    public static final SettingKey<String> EVENTS_LISTEN = SettingKey.listen("events", "listen");
    public static final SettingKey<Long> EVENTS_REMEMBER_S =
            SettingKey.whole("events", "remember_s", "seconds", 1, 2_592_000, 3_600, false);
    public static final SettingKey<List<String>> EVENTS_WEBHOOK_ORIGINS = SettingKey.words(
            "events", "webhook_origins", "names of senders apart by spaces, or *", "\\*|" + NAME, false);
    public static final SettingKey<Long> EVENTS_WEBHOOK_RATE = SettingKey.whole(
            "events", "webhook_rate_per_minute", "requests a minute, 0 for any", 0, 999_999_999, 0, false);

    public static final SettingKey<String> ACME_DIRECTORY =
            SettingKey.text("acme", "directory", "an http or https URL", "https?://[!-~]+", "", false);
    public static final SettingKey<List<String>> ACME_NAMES =
            SettingKey.words("acme", "names", "DNS names apart by spaces", NAME, false);
    public static final SettingKey<String> ACME_FOLDER =
            SettingKey.text("acme", "folder", "a path", PATH, "certificates", false);
    public static final SettingKey<String> ACME_CHALLENGES = SettingKey.listen("acme", "challenges");

    public static final SettingKey<String> GOSSIP_LISTEN = SettingKey.listen("gossip", "listen");
    public static final SettingKey<String> GOSSIP_ADVERTISE = SettingKey.text(
            "gossip",
            "advertise",
            "ADDRESS:PORT that others reach, empty for the one listened on",
            "([0-9.]+|\\[[0-9a-fA-F:.]+]):\\d{1,5}",
            "",
            false);
    public static final SettingKey<String> GOSSIP_NAME =
            SettingKey.text("gossip", "name", "1 to 64 of A-Z a-z 0-9 . _ -", NAME, "", false);
    public static final SettingKey<String> GOSSIP_KEY_FILE =
            SettingKey.text("gossip", "key_file", "a path", PATH, "", false);
    public static final SettingKey<String> GOSSIP_ROSTER =
            SettingKey.text("gossip", "roster", "a path", PATH, "", true);
    public static final SettingKey<List<String>> GOSSIP_SEEDS = SettingKey.words(
            "gossip",
            "seeds",
            "ADDRESS:PORT apart by spaces, at most 16",
            "([0-9.]+|\\[[0-9a-fA-F:.]+]):\\d{1,5}",
            false);
    public static final SettingKey<Long> GOSSIP_BYTES =
            SettingKey.whole("gossip", "most_bytes_per_s", "bytes a second", 2_000, 10_000_000, 65_536, true);
    public static final SettingKey<Long> GOSSIP_DATAGRAMS =
            SettingKey.whole("gossip", "most_datagrams_per_s", "datagrams a second", 10, 10_000, 100, true);
    public static final SettingKey<String> GOSSIP_WEIGH = SettingKey.text(
            "gossip",
            "weigh",
            "on, or off: what others say is heard and passed on, and weighs nothing",
            "on|off",
            "on",
            true);

    public static final SettingKey<List<String>> RULES_FILES =
            SettingKey.words("rules", "files", "paths apart by spaces", "[^\\x00-\\x20,]{1,4096}", true);
    public static final SettingKey<String> RULES_ZONE = new SettingKey<>(
            "rules",
            "zone",
            "a time zone such as Africa/Lagos",
            "UTC",
            true,
            text -> java.time.ZoneId.getAvailableZoneIds().contains(text) ? text : null);
    public static final SettingKey<Long> RULES_BODY_BYTES =
            SettingKey.whole("rules", "body_bytes", "bytes", 1, 262_144, 65_536, true);
    public static final SettingKey<Long> RULES_BODY_DEPTH =
            SettingKey.whole("rules", "body_depth", "levels", 1, 200, 16, true);
    public static final SettingKey<Long> RULES_FIELD_CHARS =
            SettingKey.whole("rules", "field_chars", "characters", 1, 65_536, 1_024, true);
    public static final SettingKey<Long> RULES_LIST_ITEMS =
            SettingKey.whole("rules", "list_items", "items", 1, 10_000, 32, true);
    public static final SettingKey<Long> RULES_BUDGET =
            SettingKey.whole("rules", "budget", "units of an expression", 100, 10_000_000, 20_000, true);
    public static final SettingKey<Long> RULES_REQUEST_BUDGET = SettingKey.whole(
            "rules", "request_budget", "units of all that one request may meet", 100, 1_000_000_000, 2_000_000, true);
    public static final SettingKey<Long> RULES_WINDOW_S =
            SettingKey.whole("rules", "window_s", "seconds", 1, 3_600, 60, true);
    public static final SettingKey<Long> RULES_REMEMBER_S =
            SettingKey.whole("rules", "remember_s", "seconds", 1, 2_592_000, 3_600, true);

    private static final String PLACE = "([0-9.]+|\\[[0-9a-fA-F:.]+]):\\d{1,5}";

    public static final SettingKey<String> STATE_LEARNED = SettingKey.text(
            "state", "learned", "kept, or forgotten at each end of a process", "kept|forgotten", "kept", false);

    public static final SettingKey<String> SHARES_MEMBERS = SettingKey.text(
            "shares", "members", "off, told (by the platform's number) or gossip", "off|told|gossip", "off", false);
    public static final SettingKey<Long> SHARES_HOLD_S =
            SettingKey.whole("shares", "hold_s", "seconds", 0, 3_600, 20, false);
    public static final SettingKey<Long> SHARES_CONNECTIONS = SettingKey.whole(
            "shares",
            "endpoint_connections",
            "connections that an endpoint takes of all, 0 where it is not known",
            0,
            1_000_000,
            0,
            false);
    public static final SettingKey<Long> SHARES_EACH = SettingKey.whole(
            "shares", "connections_each", "connections that one member may hold at an endpoint", 1, 1_000, 2, false);
    public static final SettingKey<Long> SHARES_RETRIES = SettingKey.whole(
            "shares", "retries_percent", "further tries of a hundred first ones, 100 for no bound", 1, 100, 100, false);
    public static final SettingKey<String> SHARES_TRIALS = SettingKey.text(
            "shares",
            "trials",
            "each, or one: by turns among those whose breakers are open",
            "each|one",
            "each",
            false);

    public static final SettingKey<String> FLEET_LISTEN = SettingKey.listen("fleet", "listen");
    public static final SettingKey<String> FLEET_NAME =
            SettingKey.text("fleet", "name", "1 to 64 of A-Z a-z 0-9 . _ -", NAME, "", false);
    public static final SettingKey<String> FLEET_GROUP =
            SettingKey.text("fleet", "group", "1 to 64 of A-Z a-z 0-9 . _ -", NAME, "elderseam", false);
    public static final SettingKey<List<String>> FLEET_MEMBERS =
            SettingKey.words("fleet", "members", "NAME=ADDRESS:PORT apart by spaces", NAME + "=" + PLACE, false);
    public static final SettingKey<String> FLEET_FOLDER =
            SettingKey.text("fleet", "folder", "a path, empty for fleet in the folder that lasts", PATH, "", false);
    public static final SettingKey<List<String>> FLEET_LEASES =
            SettingKey.words("fleet", "leases", "names apart by spaces", "[A-Za-z0-9._:-]{1,64}", false);
    public static final SettingKey<String> FLEET_DISCOVERY = SettingKey.text(
            "fleet", "discovery", "each, or one: the holder of its lease watches for all", "each|one", "each", false);
    public static final SettingKey<String> FLEET_TRIALS = SettingKey.text(
            "fleet",
            "trials",
            "each, or one: the holder of a destination's lease tries it for all",
            "each|one",
            "each",
            false);
    public static final SettingKey<String> FLEET_CERTIFICATES = SettingKey.text(
            "fleet", "certificates", "each, or one: the holder of its lease orders for all", "each|one", "each", false);
    public static final SettingKey<String> FLEET_CERTIFICATE_KEY =
            SettingKey.text("fleet", "certificate_key", "a path", PATH, "", false);
    public static final SettingKey<Long> FLEET_VERSIONS_BOUND_MS =
            SettingKey.whole("fleet", "versions_bound_ms", "milliseconds, 0 for no versions", 0, 600_000, 0, false);
    public static final SettingKey<Long> FLEET_VERSIONS_LEAD_MS = SettingKey.whole(
            "fleet",
            "versions_lead_ms",
            "milliseconds from commit to effect, never less than the bound",
            0,
            3_600_000,
            0,
            false);
    public static final SettingKey<String> FLEET_VERSIONS_DOUBT = SettingKey.text(
            "fleet",
            "versions_doubt",
            "refuse, or keep the last version, while in doubt",
            "refuse|keep",
            "refuse",
            false);
    public static final SettingKey<String> DISCOVERY_ADDRESS =
            SettingKey.text("discovery", "address", "ADDRESS:PORT, empty for the platform's word", PLACE, "", true);
    public static final SettingKey<Long> FLEET_TTL_MS =
            SettingKey.whole("fleet", "ttl_ms", "milliseconds", 200, 60_000, 5_000, false);
    public static final SettingKey<Long> FLEET_DRIFT_PERCENT =
            SettingKey.whole("fleet", "drift_percent", "percent", 0, 40, 5, false);
    public static final SettingKey<Long> FLEET_ELECTION_MS =
            SettingKey.whole("fleet", "election_ms", "milliseconds", 50, 10_000, 500, false);

    public static final SettingKey<String> REHEARSAL_HISTORY =
            SettingKey.text("rehearsal", "history", "a path", PATH, "", false);
    public static final SettingKey<String> REHEARSAL_STORE = SettingKey.listen("rehearsal", "store");
    public static final SettingKey<Long> REHEARSAL_ACT_MS =
            SettingKey.whole("rehearsal", "act_ms", "milliseconds", 1, 1_000, 20, false);
    public static final SettingKey<Long> REHEARSAL_CLOCK_PERCENT =
            SettingKey.whole("rehearsal", "clock_percent", "percent of true time", 50, 150, 100, false);
    public static final SettingKey<Long> REHEARSAL_CLOCK_AHEAD_MS =
            SettingKey.whole("rehearsal", "clock_ahead_ms", "milliseconds", -3_600_000, 3_600_000, 0, false);

    public static final SettingKey<String> REHEARSAL_GOSSIP_LEASE = SettingKey.text(
            "rehearsal",
            "gossip_lease",
            "off, lowest or majority: a lease by what gossip shows alone",
            "off|lowest|majority",
            "off",
            false);

    public static final SettingKey<String> REHEARSAL_VERSIONS = SettingKey.text(
            "rehearsal",
            "versions",
            "right, or a planted fault: no-confirm, at-commit",
            "right|no-confirm|at-commit",
            "right",
            false);

    public static final List<SettingKey<?>> ALL = List.of(
            EVENTS_LISTEN,
            EVENTS_REMEMBER_S,
            EVENTS_WEBHOOK_ORIGINS,
            EVENTS_WEBHOOK_RATE,
            ACME_DIRECTORY,
            ACME_NAMES,
            ACME_FOLDER,
            ACME_CHALLENGES,
            GOSSIP_LISTEN,
            GOSSIP_ADVERTISE,
            GOSSIP_NAME,
            GOSSIP_KEY_FILE,
            GOSSIP_ROSTER,
            GOSSIP_SEEDS,
            GOSSIP_BYTES,
            GOSSIP_DATAGRAMS,
            GOSSIP_WEIGH,
            RULES_FILES,
            RULES_ZONE,
            RULES_BODY_BYTES,
            RULES_BODY_DEPTH,
            RULES_FIELD_CHARS,
            RULES_LIST_ITEMS,
            RULES_BUDGET,
            RULES_REQUEST_BUDGET,
            RULES_WINDOW_S,
            RULES_REMEMBER_S,
            DISCOVERY_ADDRESS,
            STATE_LEARNED,
            SHARES_MEMBERS,
            SHARES_HOLD_S,
            SHARES_CONNECTIONS,
            SHARES_EACH,
            SHARES_RETRIES,
            SHARES_TRIALS,
            FLEET_LISTEN,
            FLEET_NAME,
            FLEET_GROUP,
            FLEET_MEMBERS,
            FLEET_FOLDER,
            FLEET_LEASES,
            FLEET_DISCOVERY,
            FLEET_TRIALS,
            FLEET_CERTIFICATES,
            FLEET_CERTIFICATE_KEY,
            FLEET_VERSIONS_BOUND_MS,
            FLEET_VERSIONS_LEAD_MS,
            FLEET_VERSIONS_DOUBT,
            FLEET_TTL_MS,
            FLEET_DRIFT_PERCENT,
            FLEET_ELECTION_MS,
            REHEARSAL_HISTORY,
            REHEARSAL_STORE,
            REHEARSAL_ACT_MS,
            REHEARSAL_CLOCK_PERCENT,
            REHEARSAL_CLOCK_AHEAD_MS,
            REHEARSAL_GOSSIP_LEASE,
            REHEARSAL_VERSIONS);

    public static final List<ConflictingSettings> CONTRADICTIONS = List.of(
            new ConflictingSettings(
                    ACME_DIRECTORY,
                    "is set while events.listen is off, allowed: with a front that serves",
                    s -> !s.get(ACME_DIRECTORY).isEmpty()
                            && s.get(EVENTS_LISTEN).equals("off")),
            new ConflictingSettings(
                    ACME_NAMES,
                    "is empty, allowed: at least one name with acme.directory",
                    s -> !s.get(ACME_DIRECTORY).isEmpty() && s.get(ACME_NAMES).isEmpty()),
            new ConflictingSettings(
                    ACME_CHALLENGES,
                    "is off, allowed: ADDRESS:PORT with acme.directory",
                    s -> !s.get(ACME_DIRECTORY).isEmpty()
                            && s.get(ACME_CHALLENGES).equals("off")),
            new ConflictingSettings(
                    EVENTS_WEBHOOK_RATE,
                    "is set without events.webhook_origins, allowed: with a sender that may ask",
                    s -> s.get(EVENTS_WEBHOOK_RATE) > 0
                            && s.get(EVENTS_WEBHOOK_ORIGINS).isEmpty()),
            new ConflictingSettings(
                    GOSSIP_NAME,
                    "is empty, allowed: a name of the roster with gossip.listen",
                    s -> gossips(s) && s.get(GOSSIP_NAME).isEmpty()),
            new ConflictingSettings(
                    GOSSIP_KEY_FILE,
                    "is empty, allowed: a key file with gossip.listen",
                    s -> gossips(s) && s.get(GOSSIP_KEY_FILE).isEmpty()),
            new ConflictingSettings(
                    GOSSIP_ROSTER,
                    "is empty, allowed: a roster with gossip.listen",
                    s -> gossips(s) && s.get(GOSSIP_ROSTER).isEmpty()),
            new ConflictingSettings(
                    GOSSIP_ADVERTISE,
                    "is empty while gossip.listen names every address, allowed: ADDRESS:PORT",
                    s -> gossips(s)
                            && s.get(GOSSIP_ADVERTISE).isEmpty()
                            && s.get(GOSSIP_LISTEN).matches("0\\.0\\.0\\.0:.*|\\[[0:]+]:.*")),
            new ConflictingSettings(
                    GOSSIP_LISTEN,
                    "names a host, allowed: a numeric address, which needs no look-up",
                    s -> gossips(s) && !s.get(GOSSIP_LISTEN).matches("[0-9.]+:\\d+|\\[.*]:\\d+")),
            new ConflictingSettings(
                    GOSSIP_SEEDS,
                    "are more than 16, allowed: at most 16",
                    s -> s.get(GOSSIP_SEEDS).size() > 16),
            new ConflictingSettings(
                    SHARES_MEMBERS,
                    "is gossip while gossip.listen is off, allowed: off, told",
                    s -> s.get(SHARES_MEMBERS).equals("gossip") && !gossips(s)),
            new ConflictingSettings(
                    SHARES_TRIALS,
                    "is one without shares.members = gossip, allowed: each, since nobody else says anything",
                    s -> s.get(SHARES_TRIALS).equals("one")
                            && !s.get(SHARES_MEMBERS).equals("gossip")),
            new ConflictingSettings(
                    SHARES_TRIALS,
                    "is one, and so is fleet.trials, allowed: one of them",
                    s -> s.get(SHARES_TRIALS).equals("one")
                            && s.get(FLEET_TRIALS).equals("one")),
            new ConflictingSettings(
                    FLEET_NAME,
                    "is empty, allowed: this member's name with fleet.listen",
                    s -> fleet(s) && s.get(FLEET_NAME).isEmpty()),
            new ConflictingSettings(
                    FLEET_MEMBERS,
                    "are fewer than two, allowed: the group's members as they reach each other",
                    s -> fleet(s) && s.get(FLEET_MEMBERS).size() < 2),
            new ConflictingSettings(
                    FLEET_MEMBERS,
                    "hold a name twice, allowed: each member once",
                    s -> s.get(FLEET_MEMBERS).stream()
                                    .map(m -> m.substring(0, m.indexOf('=')))
                                    .distinct()
                                    .count()
                            < s.get(FLEET_MEMBERS).size()),
            new ConflictingSettings(
                    FLEET_DISCOVERY,
                    "is one while fleet.listen is off, allowed: each",
                    s -> !fleet(s) && s.get(FLEET_DISCOVERY).equals("one")),
            new ConflictingSettings(
                    FLEET_TRIALS,
                    "is one while fleet.listen is off, allowed: each",
                    s -> !fleet(s) && s.get(FLEET_TRIALS).equals("one")),
            new ConflictingSettings(
                    FLEET_CERTIFICATES,
                    "is one while fleet.listen is off or acme.directory is empty, allowed: each",
                    s -> s.get(FLEET_CERTIFICATES).equals("one")
                            && (!fleet(s) || s.get(ACME_DIRECTORY).isEmpty())),
            new ConflictingSettings(
                    FLEET_CERTIFICATE_KEY,
                    "is empty, allowed: a key file with fleet.certificates = one, the same on all members",
                    s -> s.get(FLEET_CERTIFICATES).equals("one")
                            && s.get(FLEET_CERTIFICATE_KEY).isEmpty()),
            new ConflictingSettings(
                    FLEET_VERSIONS_BOUND_MS,
                    "is set while fleet.listen is off, allowed: 0",
                    s -> s.get(FLEET_VERSIONS_BOUND_MS) > 0 && !fleet(s)),
            new ConflictingSettings(
                    FLEET_VERSIONS_BOUND_MS,
                    "is less than four elections, allowed: 0, or as long as a change of leaders takes",
                    s -> s.get(FLEET_VERSIONS_BOUND_MS) > 0
                            && s.get(FLEET_VERSIONS_BOUND_MS) < 4 * s.get(FLEET_ELECTION_MS)),
            new ConflictingSettings(
                    REHEARSAL_VERSIONS,
                    "is planted without rehearsal.history, allowed: right",
                    s -> !s.get(REHEARSAL_VERSIONS).equals("right")
                            && s.get(REHEARSAL_HISTORY).isEmpty()),
            new ConflictingSettings(
                    FLEET_ELECTION_MS,
                    "is more than a third of fleet.ttl_ms, allowed: a lease outlasts two elections",
                    s -> fleet(s) && 3 * s.get(FLEET_ELECTION_MS) > s.get(FLEET_TTL_MS)),
            new ConflictingSettings(
                    REHEARSAL_CLOCK_PERCENT,
                    "is not 100 without rehearsal.history, allowed: a clock is bent in rehearsals alone",
                    s -> s.get(REHEARSAL_CLOCK_PERCENT) != 100
                            && s.get(REHEARSAL_HISTORY).isEmpty()),
            new ConflictingSettings(
                    REHEARSAL_CLOCK_AHEAD_MS,
                    "is not 0 without rehearsal.history, allowed: a clock is bent in rehearsals alone",
                    s -> s.get(REHEARSAL_CLOCK_AHEAD_MS) != 0
                            && s.get(REHEARSAL_HISTORY).isEmpty()),
            new ConflictingSettings(
                    REHEARSAL_GOSSIP_LEASE,
                    "is set without rehearsal.history or gossip.listen, allowed: in rehearsals of a fleet that gossips",
                    s -> !s.get(REHEARSAL_GOSSIP_LEASE).equals("off")
                            && (s.get(REHEARSAL_HISTORY).isEmpty() || !gossips(s))),
            new ConflictingSettings(
                    REHEARSAL_STORE,
                    "is set without rehearsal.history or fleet.listen, allowed: acts are made in rehearsals of a fleet alone",
                    s -> !s.get(REHEARSAL_STORE).equals("off")
                            && (s.get(REHEARSAL_HISTORY).isEmpty() || !fleet(s))));

    private static boolean fleet(Settings s) {
        return !s.get(FLEET_LISTEN).equals("off");
    }

    private static boolean gossips(Settings s) {
        return !s.get(GOSSIP_LISTEN).equals("off");
    }

    private SettingKeys() {}
}
