package elderseam.app;

import static elderseam.logging.LogField.field;

import elderseam.control.CommandResult;
import elderseam.control.OperatorCommand;
import elderseam.core.RequestDispatcher;
import elderseam.core.SettingsMap;
import elderseam.frontend.platform.DiscoveryWatcher;
import elderseam.frontend.platform.EndpointList;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.util.Optional;

/**
 * Everything by which a dispatcher works with the others of its fleet: gossip, the partition of capacity, leases and
 * versions. Each is null while it is off, and none of its classes is loaded then. Confined to the I/O thread.
 */
final class FleetServices {
    private static final EventLogger LOG = EventLogger.of(FleetServices.class);

    private final IoLoop io;
    private final PlatformConfiguration config;
    private final Settings settings;
    private final RequestDispatcher dispatcher;
    private final DiscoveryWatcher discovery;
    private final EndpointList endpoints;
    private final LeasedCertificateOrder certificateOrder;
    private final VersionReader versionReader;
    private GossipService gossip;
    private PartitionService partition;
    private LeaseService leases;
    private Settings reloaded; // as the last reload read them; null before

    /**
     * Joins the fleet as the settings say.
     *
     * @param certificateOrder where one member orders the certificate for all, else null
     * @param versionReader reads the versions that the fleet agrees on
     * @throws IOException if a key, roster or address can't be used
     */
    FleetServices(
            IoLoop io,
            PlatformConfiguration config,
            Settings settings,
            RequestDispatcher dispatcher,
            DiscoveryWatcher discovery,
            EndpointList endpoints,
            LeasedCertificateOrder certificateOrder,
            VersionReader versionReader)
            throws IOException {
        this.io = io;
        this.config = config;
        this.settings = settings;
        this.dispatcher = dispatcher;
        this.discovery = discovery;
        this.endpoints = endpoints;
        this.certificateOrder = certificateOrder;
        this.versionReader = versionReader;
        join();
    }

    /** Begins, or begins anew after {@link #leave}. */
    void join() throws IOException {
        gossip = settings.get(SettingKeys.GOSSIP_LISTEN).equals("off")
                ? null
                : new GossipService(io, settings, dispatcher);
        reapply();
        partition = openPartition();
        leases = settings.get(SettingKeys.FLEET_LISTEN).equals("off") ? null : openLeases();
    }

    /** What was reloaded before the fleet was left counts again. */
    private void reapply() {
        if (reloaded == null) {
            return;
        }
        try {
            reload(reloaded).run();
        } catch (IOException e) {
            LOG.warn("reload.rejected", field("fault", e.getMessage()));
        }
    }

    private LeaseService openLeases() throws IOException {
        LeaseService.Tasks tasks =
                new LeaseService.Tasks(dispatcher, discovery, endpoints, certificateOrder, versionReader);
        return new LeaseService(io, settings, config.stateDirectory(), config.seed(), tasks);
    }

    private PartitionService openPartition() {
        SettingsMap platform = config.settings();
        int senderCount = platform.toPolicySettings().senderCount();
        PartitionMembers members = switch (settings.get(SettingKeys.SHARES_MEMBERS)) {
            case "gossip" -> gossip;
            case "told" -> new ConfiguredMembers((int) platform.getLong("me", 0), senderCount);
            default -> null;
        };
        if (members == null) {
            return null;
        }
        return new PartitionService(io, settings, dispatcher, endpoints, senderCount, members);
    }

    /** Leaves the fleet: the process ends, or another one has its addresses from now on. */
    void leave() {
        if (partition != null) {
            partition.leave();
        }
        if (gossip != null) {
            gossip.leave();
        }
        if (leases != null) {
            leases.leave();
        }
    }

    /** Reads what fresh settings name; the result applies it, on the I/O thread. */
    Runnable reload(Settings fresh) throws IOException {
        GossipService readFor = gossip;
        Runnable apply = readFor == null ? () -> {} : readFor.reload(fresh);
        return () -> {
            reloaded = fresh;
            if (gossip == readFor) { // else the fleet was joined anew meanwhile
                apply.run();
            }
        };
    }

    /** Whether the fleet's leases are on. */
    boolean hasLeases() {
        return leases != null;
    }

    /** Whether the fleet agrees on versions. */
    boolean hasVersions() {
        return versions().isPresent();
    }

    /** The versions that the fleet agrees on, where it does. */
    Optional<VersionService> versions() {
        return leases == null ? Optional.empty() : leases.versions();
    }

    /** Answers an operator's FLEET command; only where {@link #hasLeases}. */
    CommandResult answerFleet(OperatorCommand.Fleet command) {
        return leases.answer(command);
    }

    /** Answers an operator's CONFIG command; only where {@link #hasVersions}. */
    CommandResult answerConfig(OperatorCommand.Config command) {
        return versions().orElseThrow().answer(command);
    }
}
