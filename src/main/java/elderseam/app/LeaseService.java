package elderseam.app;

import elderseam.control.CommandResult;
import elderseam.control.OperatorCommand;
import elderseam.core.Clock;
import elderseam.core.RequestDispatcher;
import elderseam.fleet.ClockDriftBound;
import elderseam.fleet.lease.LeaseGroup;
import elderseam.fleet.lease.LeaseGroupConfiguration;
import elderseam.fleet.lease.LeaseRenewer;
import elderseam.fleet.lease.LeaseStateMachine;
import elderseam.fleet.lease.LeaseTable;
import elderseam.fleet.lease.LeaseValidity;
import elderseam.fleet.selftest.FaultTestHistory;
import elderseam.fleet.selftest.LeaseWorkload;
import elderseam.frontend.platform.DiscoveryWatcher;
import elderseam.frontend.platform.EndpointList;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.http.IoLoop;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Wires the fleet's leases; where they are off this class is not loaded. All of it runs on threads of its own, so that
 * neither the engine's start nor its waiting touches the I/O thread: messages are served while the group has no majority.
 */
final class LeaseService {
    private static final long AGAIN_MS = 250; // another process may have the address and the folder yet

    private static final long LEAVING_MS = 1_000; // of the 3.3 s that a drain has
    private static final long LOOK_NS = 250 * Clock.MS;

    private final IoLoop io;
    private final Clock clock;
    private final LeasedDiscoveryWatch watch; // each null where it is off; both of the I/O thread
    private final LeasedRecoveryProbe trials;
    private final LeasedCertificateOrder order;
    private final VersionService versions;
    private final Settings settings;
    private final Path folder;
    private final long seed;
    private final FaultTestHistory history; // null but in rehearsals
    private volatile LeaseGroup group;
    private volatile LeaseRenewer holder;
    private volatile String leader = "";
    private volatile boolean left;

    /** What the tasks act on: the relay's breakers, the watch of discovery, the hosts that it lists, orders or null, and who reads versions. */
    record Work(
            RequestDispatcher relay,
            DiscoveryWatcher discovery,
            EndpointList hosts,
            LeasedCertificateOrder order,
            VersionService.Reader reader) {}

    LeaseService(IoLoop io, Settings settings, Path state, long seed, Work work) throws IOException {
        this.io = io;
        this.clock = io.clock;
        this.settings = settings;
        this.seed = seed;
        String told = settings.get(SettingKeys.FLEET_FOLDER), record = settings.get(SettingKeys.REHEARSAL_HISTORY);
        this.folder = told.isEmpty() ? state.resolve("fleet") : Path.of(told);
        this.history =
                record.isEmpty() ? null : new FaultTestHistory(Path.of(record), settings.get(SettingKeys.FLEET_NAME));
        this.watch = settings.get(SettingKeys.FLEET_DISCOVERY).equals("one")
                ? new LeasedDiscoveryWatch(clock, work.discovery(), this)
                : null;
        this.trials = settings.get(SettingKeys.FLEET_TRIALS).equals("one")
                ? new LeasedRecoveryProbe(
                        clock, work.relay(), work.hosts(), this, 2 * settings.get(SettingKeys.FLEET_TTL_MS) * Clock.MS)
                : null;
        this.order = work.order();
        if (order != null) {
            order.joins(this);
        }
        this.versions = settings.get(SettingKeys.FLEET_VERSIONS_BOUND_MS) > 0
                ? new VersionService(io, settings, state, work.reader(), history)
                : null;
        if (watch != null || trials != null) {
            io.at(clock.now() + LOOK_NS, this::look);
        }
        Thread starter = new Thread(this::start, "fleet-start");
        starter.setDaemon(true);
        starter.start();
    }

    private List<String> leases() {
        List<String> all = new ArrayList<>(settings.get(SettingKeys.FLEET_LEASES));
        if (watch != null && !all.contains(LeasedDiscoveryWatch.LEASE)) {
            all.add(LeasedDiscoveryWatch.LEASE);
        }
        if (order != null) {
            all.add(order.lease());
        }
        return all;
    }

    private void look() {
        if (left) {
            return;
        }
        if (watch != null) {
            watch.look();
        }
        if (trials != null) {
            trials.look();
        }
        io.at(clock.now() + LOOK_NS, this::look);
    }

    // ---------------------------------------------------------------- for the tasks, on any thread

    /** The tenure by which this member may act on a lease now, or null. */
    LeaseValidity tenure(String lease) {
        LeaseValidity t = holder == null ? null : holder.validity(lease).orElse(null);
        return t != null && t.mayAct(clock.now(), clock.now()) ? t : null;
    }

    /** Whether another member holds it by the group's last word. */
    boolean another(String lease) {
        return holder != null && holder.isHeldByAnother(lease);
    }

    void want(String lease, boolean wants) {
        if (holder != null) {
            holder.setWanted(lease, wants);
        }
    }

    CompletableFuture<LeaseTable.Outcome> publish(String lease, LeaseValidity by, String value) {
        return group.publish(lease, by.token(), value);
    }

    private void start() {
        while (!left) {
            try {
                begin();
                return;
            } catch (IOException | RuntimeException e) {
                System.err.println("fleet: not begun yet: " + e);
                try {
                    Thread.sleep(AGAIN_MS); // the process before this one tells nobody when it has ended
                } catch (InterruptedException ended) {
                    return;
                }
            }
        }
    }

    private void begin() throws IOException {
        Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
        settings.get(SettingKeys.FLEET_MEMBERS)
                .forEach(m -> peers.put(
                        m.substring(0, m.indexOf('=')),
                        PlatformConfiguration.address(m.substring(m.indexOf('=') + 1))));
        String life = Long.toString(clock.wallMs(), 36) + "-"
                + ProcessHandle.current().pid();
        LeaseGroup begun = LeaseGroup.start(new LeaseGroupConfiguration(
                settings.get(SettingKeys.FLEET_GROUP),
                settings.get(SettingKeys.FLEET_NAME),
                PlatformConfiguration.address(settings.get(SettingKeys.FLEET_LISTEN)),
                peers,
                folder,
                settings.get(SettingKeys.FLEET_ELECTION_MS),
                life,
                clock::now,
                new Learnt(),
                LeaseGroupConfiguration.DEFAULT_COMMANDS_PER_SNAPSHOT));
        group = begun;
        if (left) {
            begun.close();
            return;
        }
        ClockDriftBound driftBound = new ClockDriftBound(settings.get(SettingKeys.FLEET_DRIFT_PERCENT) / 100.0);
        SplittableRandom random =
                new SplittableRandom(seed ^ settings.get(SettingKeys.FLEET_NAME).hashCode());
        holder = new LeaseRenewer(
                begun, leases(), settings.get(SettingKeys.FLEET_TTL_MS), driftBound, random, clock::now, new Told());
        if (versions != null) {
            versions.joins(begun);
        }
        System.err.println("fleet: " + begun.holderId() + " on " + settings.get(SettingKeys.FLEET_LISTEN));
        if (!settings.get(SettingKeys.REHEARSAL_STORE).equals("off")) {
            new LeaseWorkload(
                    PlatformConfiguration.address(settings.get(SettingKeys.REHEARSAL_STORE)),
                    begun.holderId(),
                    settings.get(SettingKeys.FLEET_LEASES),
                    holder::validity,
                    settings.get(SettingKeys.REHEARSAL_ACT_MS) * Clock.MS,
                    clock::now,
                    history);
        }
    }

    /** What the whole group learns, on the engine's threads. */
    private final class Learnt implements LeaseStateMachine.Listener {
        @Override
        public void leaderChanged(String by) {
            leader = by;
            System.err.println("fleet: led by " + by);
        }

        @Override
        public void versionsChanged() {
            if (versions != null) {
                versions.news();
            }
        }

        @Override
        public void released(String lease) {
            LeaseRenewer h = holder;
            if (h != null) {
                h.onReleasedByOther(lease);
            }
        }

        @Override
        public void published(String lease, String value) {
            if (order != null && lease.equals(order.lease())) {
                order.heard(value);
                return;
            }
            io.run(() -> {
                if (watch != null && lease.equals(LeasedDiscoveryWatch.LEASE)) {
                    watch.heard(value);
                } else if (trials != null) {
                    trials.heard(lease);
                }
            });
        }
    }

    /** The holder's requests, for the history of a rehearsal. */
    private final class Told implements LeaseRenewer.Listener {
        @Override
        public void requested(String lease, LeaseTable.Operation operation, long token) {
            if (history != null) {
                history.event("invoke")
                        .with("op", operation.name())
                        .with("lease", lease)
                        .with("token", token)
                        .with("holder", group.holderId())
                        .append();
            }
        }

        @Override
        public void released(String lease) {
            if (history != null) {
                history.event("released")
                        .with("lease", lease)
                        .with("holder", group.holderId())
                        .append();
            }
        }

        @Override
        public void granted(String lease, LeaseValidity validity) {
            if (history != null) { // until when it will believe to hold, as the machine's clock will show that instant
                double rate = settings.get(SettingKeys.REHEARSAL_CLOCK_PERCENT) / 100.0;
                long at = System.nanoTime();
                history.eventAt(at, "granted")
                        .with("lease", lease)
                        .with("holder", group.holderId())
                        .with("token", validity.token())
                        .with("until_ns", at + (long) ((validity.expiresAtNs() - clock.now()) / rate))
                        .append();
            }
        }

        @Override
        public void refused(String lease, LeaseTable.Outcome outcome) {
            if (history != null) {
                history.event("refused")
                        .with("lease", lease)
                        .with("holder", group.holderId())
                        .with("by", outcome.holder())
                        .with("token", outcome.token())
                        .append();
            }
        }

        @Override
        public void unanswered(String lease) {
            if (history != null) {
                history.event("unknown")
                        .with("lease", lease)
                        .with("holder", group.holderId())
                        .append();
            }
        }
    }

    /** The versions that the fleet agrees on, or null. */
    VersionService versions() {
        return versions;
    }

    /** What an operator is answered. */
    CommandResult told(OperatorCommand.Fleet command) {
        LeaseGroup now = group;
        if (now == null || holder == null) {
            return CommandResult.no("the fleet's engine starts yet");
        }
        if (!command.members().isEmpty()) {
            now.changeMembers(command.members())
                    .whenComplete((done, e) -> System.err.println("fleet: members "
                            + String.join(" ", command.members().keySet())
                            + (e == null ? " agreed" : ": not agreed: " + e.getMessage())));
            return CommandResult.yes("asked; FLEET tells when it is so");
        }
        try {
            List<String> lines = new ArrayList<>(List.of(
                    "self=" + now.holderId(), "leader=" + leader, "members=" + String.join(" ", now.memberNames())));
            for (String lease : leases()) {
                LeaseValidity t = holder.validity(lease).orElse(null);
                boolean holds = t != null && t.mayAct(clock.now(), clock.now());
                lines.add("lease." + lease + "="
                        + (holds
                                ? "held token " + t.token() + " for " + (t.expiresAtNs() - clock.now()) / Clock.MS
                                        + " ms"
                                : "not held"));
            }
            lines.add("EOF");
            return new CommandResult(true, "fleet", lines);
        } catch (IOException e) {
            return CommandResult.no("the fleet's engine: " + e.getMessage());
        }
    }

    /** Gives back what it holds, and ends. */
    void leave() {
        left = true;
        if (versions != null) {
            versions.leave();
        }
        CompletableFuture<Void> givenBack =
                holder == null ? CompletableFuture.completedFuture(null) : holder.releaseAllAndStop();
        Thread end = new Thread(
                () -> {
                    try {
                        givenBack
                                .exceptionally(e -> null)
                                .completeOnTimeout(null, LEAVING_MS, TimeUnit.MILLISECONDS)
                                .join(); // else the others wait for its term
                        if (group != null) {
                            group.close();
                        }
                    } catch (IOException e) {
                        System.err.println("fleet: " + e);
                    }
                },
                "fleet-end");
        end.setDaemon(true);
        end.start();
    }
}
