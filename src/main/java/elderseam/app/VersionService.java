package elderseam.app;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.control.CommandResult;
import elderseam.control.OperatorCommand;
import elderseam.core.AdmissionRules;
import elderseam.core.Clock;
import elderseam.core.PeriodicTask;
import elderseam.fleet.ClockDriftBound;
import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionStore;
import elderseam.fleet.lease.LeaseGroup;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import elderseam.logging.LogField;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Predicate;

/**
 * Carries out the configuration versions that the fleet agrees on (docs/fleet-config.md): makes each effective at its
 * instant, and says when this member is in doubt. {@link ActiveVersion} holds what it acts on, {@link VersionConfirmer}
 * keeps that confirmed, {@link VersionCommands} answers operators.
 *
 * <p>Confined to the I/O thread, but for {@link #groupStarted} and {@link #onNews}, which any thread may call.
 */
final class VersionService {
    private static final EventLogger LOG = EventLogger.of(VersionService.class);

    private static final long CHECK_INTERVAL_NS = 20 * Clock.MILLISECOND_NS;

    private static final String STORE_DIRECTORY = "versions";

    private final IoLoop io;
    private final Clock clock;
    private final MemberHistory history;
    private final VersionStore folder;
    private final VersionLoader loader;
    private final ActiveVersion active;
    private final String member;
    private final long boundMs;
    private final long leadMs;
    private final boolean rejectsInDoubt;
    private final boolean activatesAtCommit;
    private volatile VersionConfirmer confirmer; // null until the group has started
    private volatile VersionCommands commands; // null until the group has started
    private volatile boolean left;
    private boolean wasInDoubt = true;

    /**
     * Begins with the version that was acted on last, in doubt.
     *
     * @param stateDirectory where the dispatcher's state is kept
     * @param reader reads versions
     * @throws IOException if the stored versions can't be read
     */
    VersionService(IoLoop io, Settings settings, Path stateDirectory, VersionReader reader, MemberHistory history)
            throws IOException {
        this.io = io;
        this.clock = io.clock;
        this.history = history;
        this.folder = new VersionStore(stateDirectory.resolve(STORE_DIRECTORY));
        this.loader = new VersionLoader(folder, reader);
        this.member = settings.get(SettingKeys.FLEET_NAME);
        this.boundMs = settings.get(SettingKeys.FLEET_VERSIONS_BOUND_MS);
        this.leadMs = Math.max(boundMs, settings.get(SettingKeys.FLEET_VERSIONS_LEAD_MS));
        this.rejectsInDoubt = settings.get(SettingKeys.FLEET_VERSIONS_DOUBT).equals("refuse");
        this.activatesAtCommit = settings.get(SettingKeys.REHEARSAL_VERSIONS).equals("at-commit");
        boolean neverInDoubt = settings.get(SettingKeys.REHEARSAL_VERSIONS).equals("no-confirm");
        ClockDriftBound driftBound = new ClockDriftBound(settings.get(SettingKeys.FLEET_DRIFT_PERCENT) / 100.0);
        ConfigurationVersion last = folder.loadActive();
        this.active = new ActiveVersion(last, clock, boundMs, driftBound, neverInDoubt);
        if (last.number() > 0) {
            loader.read(last).run();
        }
        LOG.info("configuration.version_restored", field("number", last.number()), field("hash", last.shortHash()));
        recordActive();
        PeriodicTask.start(io, clock, check(), CHECK_INTERVAL_NS, this::check);
    }

    /** The version that this member acts on, or acted on last where it is in doubt. */
    ConfigurationVersion active() {
        return active.current();
    }

    /** The directory where the active version's texts are files. */
    Path activeTexts() throws IOException {
        return loader.texts(active());
    }

    /**
     * These rules behind a check of whether the member is in doubt.
     *
     * @param rules the operator's rules, or null
     * @param isKnown whether a request of that id was accepted before
     */
    AdmissionRules guard(AdmissionRules rules, Predicate<String> isKnown) {
        return new VersionGuard(active, rejectsInDoubt, boundMs * Clock.MILLISECOND_NS, rules, isKnown);
    }

    /** Carries out what is due; when to look again, by the clock. */
    private long check() {
        if (left) {
            return PeriodicTask.NEVER;
        }
        if (active.advance()) {
            activate();
        }
        boolean inDoubt = active.isInDoubt();
        if (inDoubt != wasInDoubt) {
            wasInDoubt = inDoubt;
            logDoubt(inDoubt);
        }
        return active.nextCheckNs(CHECK_INTERVAL_NS);
    }

    private void logDoubt(boolean inDoubt) {
        LogField fault = field("fault", active.fault().isEmpty() ? "none" : active.fault());
        if (inDoubt) {
            LOG.warn("configuration.version_in_doubt", field("rejects_requests", rejectsInDoubt), fault);
        } else {
            ConfigurationVersion version = active();
            LOG.info(
                    "configuration.version_confirmed",
                    field("number", version.number()),
                    field("hash", version.shortHash()),
                    fault);
        }
    }

    /** It passed this member's check, or the member was away: what is wrong with it now counts. */
    private void activate() {
        ConfigurationVersion version = active();
        try {
            loader.read(version).run();
            folder.saveActive(version);
            active.fault("");
            LOG.info(
                    "configuration.version_activated",
                    field("number", version.number()),
                    field("hash", version.shortHash()),
                    field("author", version.author()),
                    field("note", version.note()));
        } catch (IOException | RuntimeException e) { // whatever is wrong with it, the member does not act on it
            active.fault(VersionLabels.firstLine(e, e.toString()));
            LOG.warn(
                    "configuration.version_activation_failed",
                    field("number", version.number()),
                    field("hash", version.shortHash()),
                    error(e));
        }
        recordActive();
    }

    private void recordActive() {
        if (history.isRecording()) {
            history.activeVersion(active(), active.remainingNs());
        }
    }

    /** The group has started: from now on it confirms. Any thread may call it. */
    void groupStarted(LeaseGroup group) {
        commands = new VersionCommands(group, member, active, boundMs, leadMs);
        confirmer = new VersionConfirmer(
                group,
                member,
                active,
                folder,
                loader,
                clock,
                boundMs,
                activatesAtCommit,
                () -> io.run(this::recordActive));
        if (left) {
            confirmer.stop();
        }
    }

    /** Something was proposed, committed or refused. Any thread may call it. */
    void onNews() {
        VersionConfirmer started = confirmer;
        if (started != null) {
            started.wakeUp();
        }
    }

    /** Confirms no more: the process ends, or another one has its work. */
    void leave() {
        left = true;
        VersionConfirmer started = confirmer;
        if (started != null) {
            started.stop();
        }
    }

    /** Answers an operator's CONFIG command. */
    CommandResult answer(OperatorCommand.Config command) {
        VersionCommands started = commands;
        return started == null ? CommandResult.rejected("the fleet's engine starts yet") : started.answer(command);
    }
}
