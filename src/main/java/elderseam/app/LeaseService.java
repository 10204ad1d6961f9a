package elderseam.app;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.control.CommandResult;
import elderseam.control.OperatorCommand;
import elderseam.core.Clock;
import elderseam.core.PeriodicTask;
import elderseam.core.RequestDispatcher;
import elderseam.fleet.ClockDriftBound;
import elderseam.fleet.lease.FollowerRefusals;
import elderseam.fleet.lease.LeaseGroup;
import elderseam.fleet.lease.LeaseGroupConfiguration;
import elderseam.fleet.lease.LeaseRenewer;
import elderseam.fleet.lease.LeaseStateMachine;
import elderseam.fleet.lease.LeaseTable;
import elderseam.fleet.lease.LeaseValidity;
import elderseam.fleet.selftest.LeaseWorkload;
import elderseam.frontend.platform.DiscoveryWatcher;
import elderseam.frontend.platform.EndpointList;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The fleet's leases in a running dispatcher: starts the lease group, keeps the member's leases, and connects them to
 * the tasks that one member does for all. The group starts and is waited for on daemon threads of its own, so requests
 * are served while it has no majority. Not loaded where leases are off.
 *
 * <p>The leased tasks are confined to the I/O thread. {@link #lease}, {@link #isHeldByAnother}, {@link #want} and
 * {@link #publish} may be called from any thread.
 */
final class LeaseService {
    private static final EventLogger LOG = EventLogger.of(LeaseService.class);

    /**
     * What the leased tasks act on.
     *
     * @param certificateOrder where one member orders the certificate for all, else null
     * @param versionReader reads the versions that the fleet agrees on
     */
    record Tasks(
            RequestDispatcher dispatcher,
            DiscoveryWatcher discovery,
            EndpointList endpoints,
            LeasedCertificateOrder certificateOrder,
            VersionReader versionReader) {}

    /** The process before this one may have the address and the folder yet, and reports to nobody when it has ended. */
    private static final long START_RETRY_INTERVAL_MS = 250;

    /** For giving leases back; a drain has 3.3 s. */
    private static final long LEAVE_LIMIT_MS = 1_000;

    private static final long TASK_CHECK_INTERVAL_NS = 250 * Clock.MILLISECOND_NS;

    /** A holder that has nothing to probe with leaves the lease to others for so many of its terms. */
    private static final long PROBE_PAUSE_TERMS = 2;

    private static final String GROUP_DIRECTORY = "fleet";
    private static final int INCARNATION_RADIX = 36;

    private final IoLoop io;
    private final Clock clock;
    private final Settings settings;
    private final Path groupDirectory;
    private final long seed;
    private final MemberHistory history;
    private final LeasedDiscoveryWatch discoveryWatch; // null where it is off, as the next three
    private final LeasedRecoveryProbe recoveryProbe;
    private final LeasedCertificateOrder certificateOrder;
    private final VersionService versions;
    private volatile LeaseGroup group; // null until it has started
    private volatile LeaseRenewer renewer; // null until the group has started
    private volatile String leader = "";
    private volatile boolean left;

    /**
     * Starts the group on a thread of its own, which tries again until it succeeds.
     *
     * @param stateDirectory where the dispatcher's state is kept
     * @param seed spreads this member's requests in time
     * @throws IOException if a file of the member's own can't be used
     */
    LeaseService(IoLoop io, Settings settings, Path stateDirectory, long seed, Tasks tasks) throws IOException {
        this.io = io;
        this.clock = io.clock;
        this.settings = settings;
        this.seed = seed;
        String directory = settings.get(SettingKeys.FLEET_FOLDER);
        this.groupDirectory = directory.isEmpty() ? stateDirectory.resolve(GROUP_DIRECTORY) : Path.of(directory);
        this.history = MemberHistory.open(settings, clock);
        this.discoveryWatch = settings.get(SettingKeys.FLEET_DISCOVERY).equals("one")
                ? new LeasedDiscoveryWatch(clock, tasks.discovery(), this)
                : null;
        long pauseNs = PROBE_PAUSE_TERMS * settings.get(SettingKeys.FLEET_TTL_MS) * Clock.MILLISECOND_NS;
        this.recoveryProbe = settings.get(SettingKeys.FLEET_TRIALS).equals("one")
                ? new LeasedRecoveryProbe(clock, tasks.dispatcher(), tasks.endpoints(), this, pauseNs)
                : null;
        this.certificateOrder = tasks.certificateOrder();
        if (certificateOrder != null) {
            certificateOrder.joined(this);
        }
        this.versions = settings.get(SettingKeys.FLEET_VERSIONS_BOUND_MS) > 0
                ? new VersionService(io, settings, stateDirectory, tasks.versionReader(), history)
                : null;
        if (discoveryWatch != null || recoveryProbe != null) {
            io.repeat(TASK_CHECK_INTERVAL_NS, this::checkTasks);
        }
        startThread("fleet-start", this::start);
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private long checkTasks() {
        if (left) {
            return PeriodicTask.NEVER;
        }
        if (discoveryWatch != null) {
            discoveryWatch.check();
        }
        if (recoveryProbe != null) {
            recoveryProbe.check();
        }
        return clock.now() + TASK_CHECK_INTERVAL_NS;
    }

    // ---------------------------------------------------------------- for the tasks, on any thread

    /** The lease by which this member may act now, if it holds that one. */
    Optional<LeaseValidity> lease(String name) {
        LeaseRenewer started = renewer;
        long nowNs = clock.now();
        return started == null
                ? Optional.empty()
                : started.validity(name).filter(validity -> validity.mayAct(nowNs, nowNs));
    }

    /** Whether another member holds that lease, by the group's last word. */
    boolean isHeldByAnother(String name) {
        LeaseRenewer started = renewer;
        return started != null && started.isHeldByAnother(name);
    }

    /** Acquires and keeps that lease from now on, or gives it back. */
    void want(String name, boolean wanted) {
        LeaseRenewer started = renewer;
        if (started != null) {
            started.setWanted(name, wanted);
        }
    }

    /**
     * Publishes a value to the group under a lease; the outcome says whether the group accepted it from this holder.
     */
    CompletableFuture<LeaseTable.Outcome> publish(String name, LeaseValidity lease, String value) {
        return group.publish(name, lease.token(), value);
    }

    /** As {@link LeaseGroup#awaitReplication}; only once this member has held a lease. */
    List<String> awaitReplication(long timeoutMs) throws IOException, InterruptedException {
        return group.awaitReplication(timeoutMs);
    }

    // ---------------------------------------------------------------- start, on a thread of its own

    private void start() {
        while (!left) {
            try {
                startGroup();
                return;
            } catch (IOException | RuntimeException e) { // of the engine, whatever it may be: another attempt follows
                LOG.warn("lease.group_start_failed", error(e));
            }
            try {
                Thread.sleep(START_RETRY_INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void startGroup() throws IOException {
        LeaseGroup started = LeaseGroup.start(groupConfiguration());
        group = started;
        if (left) {
            started.close();
            return;
        }
        ClockDriftBound driftBound = new ClockDriftBound(settings.get(SettingKeys.FLEET_DRIFT_PERCENT) / 100.0);
        SplittableRandom random =
                new SplittableRandom(seed ^ settings.get(SettingKeys.FLEET_NAME).hashCode());
        renewer = new LeaseRenewer(
                started,
                leaseNames(),
                settings.get(SettingKeys.FLEET_TTL_MS),
                driftBound,
                random,
                clock::now,
                history.leaseListener(started.holderId()));
        if (versions != null) {
            versions.groupStarted(started);
        }
        LOG.info(
                "lease.group_started",
                field("holder", started.holderId()),
                field("address", settings.get(SettingKeys.FLEET_LISTEN)));
        if (!settings.get(SettingKeys.REHEARSAL_STORE).equals("off")) {
            startTestWorkload(started.holderId());
        }
    }

    private LeaseGroupConfiguration groupConfiguration() {
        Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
        for (String member : settings.get(SettingKeys.FLEET_MEMBERS)) {
            int separator = member.indexOf('=');
            peers.put(
                    member.substring(0, separator),
                    PlatformConfiguration.parseAddress(member.substring(separator + 1)));
        }
        String incarnation = Long.toString(clock.wallMs(), INCARNATION_RADIX) + "-"
                + ProcessHandle.current().pid();
        return new LeaseGroupConfiguration(
                settings.get(SettingKeys.FLEET_GROUP),
                settings.get(SettingKeys.FLEET_NAME),
                PlatformConfiguration.parseAddress(settings.get(SettingKeys.FLEET_LISTEN)),
                peers,
                groupDirectory,
                settings.get(SettingKeys.FLEET_ELECTION_MS),
                incarnation,
                clock::now,
                new GroupListener(),
                LeaseGroupConfiguration.DEFAULT_COMMANDS_PER_SNAPSHOT);
    }

    /** A fault test's workload: acts on its store while a lease is held. */
    private void startTestWorkload(String holderName) {
        new LeaseWorkload(
                PlatformConfiguration.parseAddress(settings.get(SettingKeys.REHEARSAL_STORE)),
                holderName,
                settings.get(SettingKeys.FLEET_LEASES),
                renewer::validity,
                settings.get(SettingKeys.REHEARSAL_ACT_MS) * Clock.MILLISECOND_NS,
                clock::now,
                history.history());
    }

    private List<String> leaseNames() {
        List<String> names = new ArrayList<>(settings.get(SettingKeys.FLEET_LEASES));
        if (discoveryWatch != null && !names.contains(LeasedDiscoveryWatch.LEASE)) {
            names.add(LeasedDiscoveryWatch.LEASE);
        }
        if (certificateOrder != null) {
            names.add(certificateOrder.leaseName());
        }
        return names;
    }

    /** What the whole group learns. Called on the engine's threads. */
    private final class GroupListener implements LeaseStateMachine.Listener {
        @Override
        public void leaderChanged(String newLeader) {
            leader = newLeader;
            LOG.info("lease.leader_changed", field("leader", newLeader));
        }

        @Override
        public void followerRefused(FollowerRefusals.Refusal refusal) {
            LOG.warn(
                    "lease.follower_refuses",
                    field("follower", refusal.follower()),
                    field("refusals", refusal.refusals()),
                    field("previous", refusal.previous()),
                    field("entries", refusal.entries()),
                    field("commit", refusal.leaderCommit()),
                    field("next", refusal.nextIndex()));
        }

        @Override
        public void requestTimedOut(long limitMs, long count) {
            LOG.warn("lease.request_timed_out", field("limit_ms", limitMs), field("count", count));
        }

        @Override
        public void versionsChanged() {
            if (versions != null) {
                versions.onNews();
            }
        }

        @Override
        public void released(String lease) {
            LeaseRenewer started = renewer;
            if (started != null) {
                started.onReleasedByOther(lease);
            }
        }

        @Override
        public void published(String lease, String value) {
            if (certificateOrder != null && lease.equals(certificateOrder.leaseName())) {
                certificateOrder.onPublished(value);
            } else {
                io.run(() -> onTaskPublished(lease, value));
            }
        }
    }

    private void onTaskPublished(String lease, String value) {
        if (discoveryWatch != null && lease.equals(LeasedDiscoveryWatch.LEASE)) {
            discoveryWatch.onPublished(value);
        } else if (recoveryProbe != null) {
            recoveryProbe.onPublished(lease);
        }
    }

    // ---------------------------------------------------------------- for the dispatcher, on the I/O thread

    /** The versions that the fleet agrees on, where it does. */
    Optional<VersionService> versions() {
        return Optional.ofNullable(versions);
    }

    /** Answers an operator's FLEET command. */
    CommandResult answer(OperatorCommand.Fleet command) {
        LeaseGroup startedGroup = group;
        if (startedGroup == null || renewer == null) {
            return CommandResult.rejected("the fleet's engine starts yet");
        }
        if (!command.members().isEmpty()) {
            return changeMembers(startedGroup, command.members());
        }
        try {
            return CommandResult.accepted(
                    "fleet", FleetStatus.lines(startedGroup, leader, leaseNames(), this::lease, clock.now()));
        } catch (IOException e) {
            return CommandResult.rejected("the fleet's engine: " + e.getMessage());
        }
    }

    private static CommandResult changeMembers(LeaseGroup group, Map<String, InetSocketAddress> members) {
        String names = String.join(" ", members.keySet());
        var unused = group.changeMembers(members).whenComplete((done, failure) -> logMemberChange(names, failure));
        return CommandResult.accepted("asked; FLEET tells when it is so");
    }

    /** {@code failure} is null where the group has agreed. */
    private static void logMemberChange(String names, Throwable failure) {
        if (failure == null) {
            LOG.info("lease.members_changed", field("members", names));
        } else {
            LOG.warn("lease.members_change_failed", field("members", names), error(failure));
        }
    }

    /** Gives back what it holds, and leaves the group, on a thread of its own. */
    void leave() {
        left = true;
        if (versions != null) {
            versions.leave();
        }
        LeaseRenewer started = renewer;
        CompletableFuture<Void> released =
                started == null ? CompletableFuture.completedFuture(null) : started.releaseAllAndStop();
        startThread("fleet-end", () -> closeGroup(released));
    }

    /** Waits for the release within limits: without it the other members wait for the end of the leases' terms. */
    private void closeGroup(CompletableFuture<Void> released) {
        released.exceptionally(failure -> null)
                .completeOnTimeout(null, LEAVE_LIMIT_MS, TimeUnit.MILLISECONDS)
                .join();
        try {
            LeaseGroup started = group;
            if (started != null) {
                started.close();
            }
        } catch (IOException e) {
            LOG.warn("lease.group_close_failed", error(e));
        }
    }
}
