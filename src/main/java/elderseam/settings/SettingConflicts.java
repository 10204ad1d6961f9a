package elderseam.settings;

import static elderseam.settings.SettingKeys.ACME_CHALLENGES;
import static elderseam.settings.SettingKeys.ACME_DIRECTORY;
import static elderseam.settings.SettingKeys.ACME_NAMES;
import static elderseam.settings.SettingKeys.EVENTS_LISTEN;
import static elderseam.settings.SettingKeys.EVENTS_WEBHOOK_ORIGINS;
import static elderseam.settings.SettingKeys.EVENTS_WEBHOOK_RATE_PER_MINUTE;
import static elderseam.settings.SettingKeys.FLEET_CERTIFICATES;
import static elderseam.settings.SettingKeys.FLEET_CERTIFICATE_KEY;
import static elderseam.settings.SettingKeys.FLEET_DISCOVERY;
import static elderseam.settings.SettingKeys.FLEET_ELECTION_MS;
import static elderseam.settings.SettingKeys.FLEET_LISTEN;
import static elderseam.settings.SettingKeys.FLEET_MEMBERS;
import static elderseam.settings.SettingKeys.FLEET_NAME;
import static elderseam.settings.SettingKeys.FLEET_TRIALS;
import static elderseam.settings.SettingKeys.FLEET_TTL_MS;
import static elderseam.settings.SettingKeys.FLEET_VERSIONS_BOUND_MS;
import static elderseam.settings.SettingKeys.GOSSIP_ADVERTISE;
import static elderseam.settings.SettingKeys.GOSSIP_KEY_FILE;
import static elderseam.settings.SettingKeys.GOSSIP_LISTEN;
import static elderseam.settings.SettingKeys.GOSSIP_NAME;
import static elderseam.settings.SettingKeys.GOSSIP_ROSTER;
import static elderseam.settings.SettingKeys.GOSSIP_SEEDS;
import static elderseam.settings.SettingKeys.REHEARSAL_CLOCK_AHEAD_MS;
import static elderseam.settings.SettingKeys.REHEARSAL_CLOCK_PERCENT;
import static elderseam.settings.SettingKeys.REHEARSAL_GOSSIP_LEASE;
import static elderseam.settings.SettingKeys.REHEARSAL_HISTORY;
import static elderseam.settings.SettingKeys.REHEARSAL_STORE;
import static elderseam.settings.SettingKeys.REHEARSAL_VERSIONS;
import static elderseam.settings.SettingKeys.SHARES_MEMBERS;
import static elderseam.settings.SettingKeys.SHARES_TRIALS;

import java.util.ArrayList;
import java.util.List;

/** The combinations of settings that are refused. Loaded only where a file sets anything: the defaults have no conflict. */
final class SettingConflicts {
    private static final int MAX_GOSSIP_SEEDS = 16;

    /** A change of leaders takes fewer elections; a member must be able to confirm its version after one. */
    private static final int MIN_ELECTIONS_IN_VERSIONS_BOUND = 4;

    /** A lease outlasts two elections and has time left. */
    private static final int MIN_ELECTIONS_IN_TTL = 3;

    private static final int TRUE_CLOCK_PERCENT = 100;

    /** Faults are printed in this order. */
    private static final List<SettingConflict> ALL = List.of(
            new SettingConflict(
                    ACME_DIRECTORY,
                    "is set while events.listen is off, allowed: with a front that serves",
                    settings -> !isEmpty(settings, ACME_DIRECTORY) && isOff(settings, EVENTS_LISTEN)),
            new SettingConflict(
                    ACME_NAMES,
                    "is empty, allowed: at least one name with acme.directory",
                    settings -> !isEmpty(settings, ACME_DIRECTORY)
                            && settings.get(ACME_NAMES).isEmpty()),
            new SettingConflict(
                    ACME_CHALLENGES,
                    "is off, allowed: ADDRESS:PORT with acme.directory",
                    settings -> !isEmpty(settings, ACME_DIRECTORY) && isOff(settings, ACME_CHALLENGES)),
            new SettingConflict(
                    EVENTS_WEBHOOK_RATE_PER_MINUTE,
                    "is set without events.webhook_origins, allowed: with a sender that may ask",
                    settings -> settings.get(EVENTS_WEBHOOK_RATE_PER_MINUTE) > 0
                            && settings.get(EVENTS_WEBHOOK_ORIGINS).isEmpty()),
            new SettingConflict(
                    GOSSIP_NAME,
                    "is empty, allowed: a name of the roster with gossip.listen",
                    settings -> gossips(settings) && isEmpty(settings, GOSSIP_NAME)),
            new SettingConflict(
                    GOSSIP_KEY_FILE,
                    "is empty, allowed: a key file with gossip.listen",
                    settings -> gossips(settings) && isEmpty(settings, GOSSIP_KEY_FILE)),
            new SettingConflict(
                    GOSSIP_ROSTER,
                    "is empty, allowed: a roster with gossip.listen",
                    settings -> gossips(settings) && isEmpty(settings, GOSSIP_ROSTER)),
            new SettingConflict(
                    GOSSIP_ADVERTISE,
                    "is empty while gossip.listen names every address, allowed: ADDRESS:PORT",
                    settings -> gossips(settings)
                            && isEmpty(settings, GOSSIP_ADVERTISE)
                            && settings.get(GOSSIP_LISTEN).matches("0\\.0\\.0\\.0:.*|\\[[0:]+]:.*")),
            new SettingConflict(
                    GOSSIP_LISTEN,
                    "names a host, allowed: a numeric address, which needs no look-up",
                    settings ->
                            gossips(settings) && !settings.get(GOSSIP_LISTEN).matches("[0-9.]+:\\d+|\\[.*]:\\d+")),
            new SettingConflict(
                    GOSSIP_SEEDS,
                    "are more than 16, allowed: at most 16",
                    settings -> settings.get(GOSSIP_SEEDS).size() > MAX_GOSSIP_SEEDS),
            new SettingConflict(
                    SHARES_MEMBERS,
                    "is gossip while gossip.listen is off, allowed: off, told",
                    settings -> settings.get(SHARES_MEMBERS).equals("gossip") && !gossips(settings)),
            new SettingConflict(
                    SHARES_TRIALS,
                    "is one without shares.members = gossip, allowed: each, since nobody else says anything",
                    settings -> isOne(settings, SHARES_TRIALS)
                            && !settings.get(SHARES_MEMBERS).equals("gossip")),
            new SettingConflict(
                    SHARES_TRIALS,
                    "is one, and so is fleet.trials, allowed: one of them",
                    settings -> isOne(settings, SHARES_TRIALS) && isOne(settings, FLEET_TRIALS)),
            new SettingConflict(
                    FLEET_NAME,
                    "is empty, allowed: this member's name with fleet.listen",
                    settings -> inFleet(settings) && isEmpty(settings, FLEET_NAME)),
            new SettingConflict(
                    FLEET_MEMBERS,
                    "are fewer than two, allowed: the group's members as they reach each other",
                    settings -> inFleet(settings) && settings.get(FLEET_MEMBERS).size() < 2),
            new SettingConflict(
                    FLEET_MEMBERS,
                    "hold a name twice, allowed: each member once",
                    settings -> settings.get(FLEET_MEMBERS).stream()
                                    .map(member -> member.substring(0, member.indexOf('=')))
                                    .distinct()
                                    .count()
                            < settings.get(FLEET_MEMBERS).size()),
            new SettingConflict(
                    FLEET_DISCOVERY,
                    "is one while fleet.listen is off, allowed: each",
                    settings -> !inFleet(settings) && isOne(settings, FLEET_DISCOVERY)),
            new SettingConflict(
                    FLEET_TRIALS,
                    "is one while fleet.listen is off, allowed: each",
                    settings -> !inFleet(settings) && isOne(settings, FLEET_TRIALS)),
            new SettingConflict(
                    FLEET_CERTIFICATES,
                    "is one while fleet.listen is off or acme.directory is empty, allowed: each",
                    settings -> isOne(settings, FLEET_CERTIFICATES)
                            && (!inFleet(settings) || isEmpty(settings, ACME_DIRECTORY))),
            new SettingConflict(
                    FLEET_CERTIFICATE_KEY,
                    "is empty, allowed: a key file with fleet.certificates = one, the same on all members",
                    settings -> isOne(settings, FLEET_CERTIFICATES) && isEmpty(settings, FLEET_CERTIFICATE_KEY)),
            new SettingConflict(
                    FLEET_VERSIONS_BOUND_MS,
                    "is set while fleet.listen is off, allowed: 0",
                    settings -> settings.get(FLEET_VERSIONS_BOUND_MS) > 0 && !inFleet(settings)),
            new SettingConflict(
                    FLEET_VERSIONS_BOUND_MS,
                    "is less than four elections, allowed: 0, or as long as a change of leaders takes",
                    settings -> settings.get(FLEET_VERSIONS_BOUND_MS) > 0
                            && settings.get(FLEET_VERSIONS_BOUND_MS)
                                    < MIN_ELECTIONS_IN_VERSIONS_BOUND * settings.get(FLEET_ELECTION_MS)),
            new SettingConflict(
                    REHEARSAL_VERSIONS,
                    "is planted without rehearsal.history, allowed: right",
                    settings ->
                            !settings.get(REHEARSAL_VERSIONS).equals("right") && isEmpty(settings, REHEARSAL_HISTORY)),
            new SettingConflict(
                    FLEET_ELECTION_MS,
                    "is more than a third of fleet.ttl_ms, allowed: a lease outlasts two elections",
                    settings -> inFleet(settings)
                            && MIN_ELECTIONS_IN_TTL * settings.get(FLEET_ELECTION_MS) > settings.get(FLEET_TTL_MS)),
            new SettingConflict(
                    REHEARSAL_CLOCK_PERCENT,
                    "is not 100 without rehearsal.history, allowed: a clock is bent in rehearsals alone",
                    settings -> settings.get(REHEARSAL_CLOCK_PERCENT) != TRUE_CLOCK_PERCENT
                            && isEmpty(settings, REHEARSAL_HISTORY)),
            new SettingConflict(
                    REHEARSAL_CLOCK_AHEAD_MS,
                    "is not 0 without rehearsal.history, allowed: a clock is bent in rehearsals alone",
                    settings -> settings.get(REHEARSAL_CLOCK_AHEAD_MS) != 0 && isEmpty(settings, REHEARSAL_HISTORY)),
            new SettingConflict(
                    REHEARSAL_GOSSIP_LEASE,
                    "is set without rehearsal.history or gossip.listen, allowed: in rehearsals of a fleet that gossips",
                    settings -> !isOff(settings, REHEARSAL_GOSSIP_LEASE)
                            && (isEmpty(settings, REHEARSAL_HISTORY) || !gossips(settings))),
            new SettingConflict(
                    REHEARSAL_STORE,
                    "is set without rehearsal.history or fleet.listen, allowed: acts are made in rehearsals of a fleet alone",
                    settings -> !isOff(settings, REHEARSAL_STORE)
                            && (isEmpty(settings, REHEARSAL_HISTORY) || !inFleet(settings))));

    private SettingConflicts() {}

    /** The conflicts that settings have, in the order in which they are printed. */
    static List<SettingConflict> among(Settings settings) {
        List<SettingConflict> found = new ArrayList<>();
        for (SettingConflict conflict : ALL) {
            if (conflict.occurs().test(settings)) {
                found.add(conflict);
            }
        }
        return found;
    }

    private static boolean isOff(Settings settings, SettingKey<String> key) {
        return settings.get(key).equals("off");
    }

    /** Whether one member does a task for all, by a lease or by turns. */
    private static boolean isOne(Settings settings, SettingKey<String> key) {
        return settings.get(key).equals("one");
    }

    private static boolean isEmpty(Settings settings, SettingKey<String> key) {
        return settings.get(key).isEmpty();
    }

    private static boolean inFleet(Settings settings) {
        return !isOff(settings, FLEET_LISTEN);
    }

    private static boolean gossips(Settings settings) {
        return !isOff(settings, GOSSIP_LISTEN);
    }
}
