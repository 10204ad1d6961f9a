package elderseam.settings;

import java.time.ZoneId;
import java.util.List;

/**
 * Every key of {@code deploy/elderseam.ini}, whose comments explain them to the operator. A constant is named after its
 * section and key.
 */
public final class SettingKeys {
    /** Where that file is by default, relative to the working directory. */
    public static final String FILE = "deploy/elderseam.ini";

    private static final String NAME = "[A-Za-z0-9._-]{1,64}";
    private static final String PATH = "[^\\x00-\\x1f]{1,4096}";
    private static final String ADDRESS_AND_PORT = "([0-9.]+|\\[[0-9a-fA-F:.]+]):\\d{1,5}";

    /** Takes effect on SIGHUP. */
    private static final boolean RELOADABLE = true;

    /** Takes effect when the process starts. */
    private static final boolean AT_START = false;

    // [events]: The CloudEvents frontend.

    public static final SettingKey<String> EVENTS_LISTEN = SettingKey.listenAddress("events", "listen");
    public static final SettingKey<Long> EVENTS_REMEMBER_S =
            SettingKey.integer("events", "remember_s", "seconds", 1, 2_592_000, 3_600, AT_START);
    public static final SettingKey<List<String>> EVENTS_WEBHOOK_ORIGINS = SettingKey.list(
            "events", "webhook_origins", "names of senders apart by spaces, or *", "\\*|" + NAME, AT_START);
    public static final SettingKey<Long> EVENTS_WEBHOOK_RATE_PER_MINUTE = SettingKey.integer(
            "events", "webhook_rate_per_minute", "requests a minute, 0 for any", 0, 999_999_999, 0, AT_START);

    // [acme]: The certificate of the CloudEvents frontend's listener.

    public static final SettingKey<String> ACME_DIRECTORY =
            SettingKey.text("acme", "directory", "an http or https URL", "https?://[!-~]+", "", AT_START);
    public static final SettingKey<List<String>> ACME_NAMES =
            SettingKey.list("acme", "names", "DNS names apart by spaces", NAME, AT_START);
    public static final SettingKey<String> ACME_FOLDER =
            SettingKey.text("acme", "folder", "a path", PATH, "certificates", AT_START);
    public static final SettingKey<String> ACME_CHALLENGES = SettingKey.listenAddress("acme", "challenges");

    // [gossip]: Gossip with the other members.

    public static final SettingKey<String> GOSSIP_LISTEN = SettingKey.listenAddress("gossip", "listen");
    public static final SettingKey<String> GOSSIP_ADVERTISE = SettingKey.text(
            "gossip",
            "advertise",
            "ADDRESS:PORT that others reach, empty for the one listened on",
            ADDRESS_AND_PORT,
            "",
            AT_START);
    public static final SettingKey<String> GOSSIP_NAME =
            SettingKey.text("gossip", "name", "1 to 64 of A-Z a-z 0-9 . _ -", NAME, "", AT_START);
    public static final SettingKey<String> GOSSIP_KEY_FILE =
            SettingKey.text("gossip", "key_file", "a path", PATH, "", AT_START);
    public static final SettingKey<String> GOSSIP_ROSTER =
            SettingKey.text("gossip", "roster", "a path", PATH, "", RELOADABLE);
    public static final SettingKey<List<String>> GOSSIP_SEEDS =
            SettingKey.list("gossip", "seeds", "ADDRESS:PORT apart by spaces, at most 16", ADDRESS_AND_PORT, AT_START);
    public static final SettingKey<Long> GOSSIP_MOST_BYTES_PER_S =
            SettingKey.integer("gossip", "most_bytes_per_s", "bytes a second", 2_000, 10_000_000, 65_536, RELOADABLE);
    public static final SettingKey<Long> GOSSIP_MOST_DATAGRAMS_PER_S =
            SettingKey.integer("gossip", "most_datagrams_per_s", "datagrams a second", 10, 10_000, 100, RELOADABLE);
    public static final SettingKey<String> GOSSIP_WEIGH = SettingKey.text(
            "gossip",
            "weigh",
            "on, or off: what others say is heard and passed on, and weighs nothing",
            "on|off",
            "on",
            RELOADABLE);

    // [rules]: The operator's rules, and the bounds of what they may cost.

    public static final SettingKey<List<String>> RULES_FILES =
            SettingKey.list("rules", "files", "paths apart by spaces", "[^\\x00-\\x20,]{1,4096}", RELOADABLE);
    public static final SettingKey<String> RULES_ZONE = new SettingKey<>(
            "rules",
            "zone",
            "a time zone such as Africa/Lagos",
            "UTC",
            RELOADABLE,
            text -> SettingKey.valueIf(ZoneId.getAvailableZoneIds().contains(text), text));
    public static final SettingKey<Long> RULES_BODY_BYTES =
            SettingKey.integer("rules", "body_bytes", "bytes", 1, 262_144, 65_536, RELOADABLE);
    public static final SettingKey<Long> RULES_BODY_DEPTH =
            SettingKey.integer("rules", "body_depth", "levels", 1, 200, 16, RELOADABLE);
    public static final SettingKey<Long> RULES_FIELD_CHARS =
            SettingKey.integer("rules", "field_chars", "characters", 1, 65_536, 1_024, RELOADABLE);
    public static final SettingKey<Long> RULES_LIST_ITEMS =
            SettingKey.integer("rules", "list_items", "items", 1, 10_000, 32, RELOADABLE);
    public static final SettingKey<Long> RULES_BUDGET =
            SettingKey.integer("rules", "budget", "units of an expression", 100, 10_000_000, 20_000, RELOADABLE);
    public static final SettingKey<Long> RULES_REQUEST_BUDGET = SettingKey.integer(
            "rules",
            "request_budget",
            "units of all that one request may meet",
            100,
            1_000_000_000,
            2_000_000,
            RELOADABLE);
    public static final SettingKey<Long> RULES_WINDOW_S =
            SettingKey.integer("rules", "window_s", "seconds", 1, 3_600, 60, RELOADABLE);
    public static final SettingKey<Long> RULES_REMEMBER_S =
            SettingKey.integer("rules", "remember_s", "seconds", 1, 2_592_000, 3_600, RELOADABLE);

    // [discovery]: The endpoint list.

    public static final SettingKey<String> DISCOVERY_ADDRESS = SettingKey.text(
            "discovery", "address", "ADDRESS:PORT, empty for the platform's word", ADDRESS_AND_PORT, "", RELOADABLE);

    // [state]: What outlasts the process.

    public static final SettingKey<String> STATE_LEARNED = SettingKey.text(
            "state", "learned", "kept, or forgotten at each end of a process", "kept|forgotten", "kept", AT_START);

    // [shares]: The part of common limits, endpoints and trial calls that is this member's.

    public static final SettingKey<String> SHARES_MEMBERS = SettingKey.text(
            "shares", "members", "off, told (by the platform's number) or gossip", "off|told|gossip", "off", AT_START);
    public static final SettingKey<Long> SHARES_HOLD_S =
            SettingKey.integer("shares", "hold_s", "seconds", 0, 3_600, 20, AT_START);
    public static final SettingKey<Long> SHARES_ENDPOINT_CONNECTIONS = SettingKey.integer(
            "shares",
            "endpoint_connections",
            "connections that an endpoint takes of all, 0 where it is not known",
            0,
            1_000_000,
            0,
            AT_START);
    public static final SettingKey<Long> SHARES_CONNECTIONS_EACH = SettingKey.integer(
            "shares", "connections_each", "connections that one member may hold at an endpoint", 1, 1_000, 2, AT_START);
    public static final SettingKey<Long> SHARES_RETRIES_PERCENT = SettingKey.integer(
            "shares",
            "retries_percent",
            "further tries of a hundred first ones, 100 for no bound",
            1,
            100,
            100,
            AT_START);
    public static final SettingKey<String> SHARES_TRIALS = SettingKey.text(
            "shares",
            "trials",
            "each, or one: by turns among those whose breakers are open",
            "each|one",
            "each",
            AT_START);

    // [fleet]: The lease group, and the tasks that its leases are for.

    public static final SettingKey<String> FLEET_LISTEN = SettingKey.listenAddress("fleet", "listen");
    public static final SettingKey<String> FLEET_NAME =
            SettingKey.text("fleet", "name", "1 to 64 of A-Z a-z 0-9 . _ -", NAME, "", AT_START);
    public static final SettingKey<String> FLEET_GROUP =
            SettingKey.text("fleet", "group", "1 to 64 of A-Z a-z 0-9 . _ -", NAME, "elderseam", AT_START);
    public static final SettingKey<List<String>> FLEET_MEMBERS = SettingKey.list(
            "fleet", "members", "NAME=ADDRESS:PORT apart by spaces", NAME + "=" + ADDRESS_AND_PORT, AT_START);
    public static final SettingKey<String> FLEET_FOLDER =
            SettingKey.text("fleet", "folder", "a path, empty for fleet in the folder that lasts", PATH, "", AT_START);
    public static final SettingKey<List<String>> FLEET_LEASES =
            SettingKey.list("fleet", "leases", "names apart by spaces", "[A-Za-z0-9._:-]{1,64}", AT_START);
    public static final SettingKey<String> FLEET_DISCOVERY = SettingKey.text(
            "fleet",
            "discovery",
            "each, or one: the holder of its lease watches for all",
            "each|one",
            "each",
            AT_START);
    public static final SettingKey<String> FLEET_TRIALS = SettingKey.text(
            "fleet",
            "trials",
            "each, or one: the holder of a destination's lease tries it for all",
            "each|one",
            "each",
            AT_START);
    public static final SettingKey<String> FLEET_CERTIFICATES = SettingKey.text(
            "fleet",
            "certificates",
            "each, or one: the holder of its lease orders for all",
            "each|one",
            "each",
            AT_START);
    public static final SettingKey<String> FLEET_CERTIFICATE_KEY =
            SettingKey.text("fleet", "certificate_key", "a path", PATH, "", AT_START);
    public static final SettingKey<Long> FLEET_VERSIONS_BOUND_MS = SettingKey.integer(
            "fleet", "versions_bound_ms", "milliseconds, 0 for no versions", 0, 600_000, 0, AT_START);
    public static final SettingKey<Long> FLEET_VERSIONS_LEAD_MS = SettingKey.integer(
            "fleet",
            "versions_lead_ms",
            "milliseconds from commit to effect, never less than the bound",
            0,
            3_600_000,
            0,
            AT_START);
    public static final SettingKey<String> FLEET_VERSIONS_DOUBT = SettingKey.text(
            "fleet",
            "versions_doubt",
            "refuse, or keep the last version, while in doubt",
            "refuse|keep",
            "refuse",
            AT_START);
    public static final SettingKey<Long> FLEET_TTL_MS =
            SettingKey.integer("fleet", "ttl_ms", "milliseconds", 200, 60_000, 5_000, AT_START);
    public static final SettingKey<Long> FLEET_DRIFT_PERCENT =
            SettingKey.integer("fleet", "drift_percent", "percent", 0, 40, 5, AT_START);
    public static final SettingKey<Long> FLEET_ELECTION_MS =
            SettingKey.integer("fleet", "election_ms", "milliseconds", 50, 10_000, 500, AT_START);

    // [rehearsal]: Fault tests only.

    public static final SettingKey<String> REHEARSAL_HISTORY =
            SettingKey.text("rehearsal", "history", "a path", PATH, "", AT_START);
    public static final SettingKey<String> REHEARSAL_STORE = SettingKey.listenAddress("rehearsal", "store");
    public static final SettingKey<Long> REHEARSAL_ACT_MS =
            SettingKey.integer("rehearsal", "act_ms", "milliseconds", 1, 1_000, 20, AT_START);
    public static final SettingKey<Long> REHEARSAL_CLOCK_PERCENT =
            SettingKey.integer("rehearsal", "clock_percent", "percent of true time", 50, 150, 100, AT_START);
    public static final SettingKey<Long> REHEARSAL_CLOCK_AHEAD_MS =
            SettingKey.integer("rehearsal", "clock_ahead_ms", "milliseconds", -3_600_000, 3_600_000, 0, AT_START);
    public static final SettingKey<String> REHEARSAL_GOSSIP_LEASE = SettingKey.text(
            "rehearsal",
            "gossip_lease",
            "off, lowest or majority: a lease by what gossip shows alone",
            "off|lowest|majority",
            "off",
            AT_START);
    public static final SettingKey<String> REHEARSAL_VERSIONS = SettingKey.text(
            "rehearsal",
            "versions",
            "right, or a planted fault: no-confirm, at-commit",
            "right|no-confirm|at-commit",
            "right",
            AT_START);

    /** All keys, in the order of the file that ships. */
    public static final List<SettingKey<?>> ALL = List.of(
            EVENTS_LISTEN,
            EVENTS_REMEMBER_S,
            EVENTS_WEBHOOK_ORIGINS,
            EVENTS_WEBHOOK_RATE_PER_MINUTE,
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
            GOSSIP_MOST_BYTES_PER_S,
            GOSSIP_MOST_DATAGRAMS_PER_S,
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
            SHARES_ENDPOINT_CONNECTIONS,
            SHARES_CONNECTIONS_EACH,
            SHARES_RETRIES_PERCENT,
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

    private SettingKeys() {}
}
