package elderseam.app;

import elderseam.control.CommandResult;
import elderseam.control.OperatorCommand;
import elderseam.core.RequestDispatcher;
import elderseam.core.SettingsMap;
import elderseam.frontend.platform.DiscoveryWatcher;
import elderseam.frontend.platform.EndpointList;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.http.IoLoop;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import java.io.IOException;

/**
 * All by which a dispatcher knows of the others of its fleet: gossip, shares of what all do, leases. Each is null while it is off, and
 * then none of its classes is loaded. Of the I/O thread.
 */
final class FleetServices {
    private final IoLoop io;
    private final PlatformConfiguration config;
    private final Settings settings;
    private final RequestDispatcher relay;
    private final DiscoveryWatcher discovery;
    private final EndpointList hosts;
    private final LeasedCertificateOrder order;
    private final VersionService.Reader reader;
    private GossipService gossip;
    private PartitionService shares;
    private LeaseService fleet;

    /** {@code order}: where one member orders the certificate for all, else null; {@code reader}: of versions. */
    FleetServices(
            IoLoop io,
            PlatformConfiguration config,
            Settings settings,
            RequestDispatcher relay,
            DiscoveryWatcher discovery,
            EndpointList hosts,
            LeasedCertificateOrder order,
            VersionService.Reader reader)
            throws IOException {
        this.io = io;
        this.config = config;
        this.settings = settings;
        this.relay = relay;
        this.discovery = discovery;
        this.hosts = hosts;
        this.order = order;
        this.reader = reader;
        join();
    }

    /** Begins, or begins anew after {@link #leave}. */
    void join() throws IOException {
        SettingsMap told = config.settings();
        int count = told.settings().senderCount();
        gossip = settings.get(SettingKeys.GOSSIP_LISTEN).equals("off") ? null : new GossipService(io, settings, relay);
        shares = switch (settings.get(SettingKeys.SHARES_MEMBERS)) {
            case "gossip" -> new PartitionService(io, settings, relay, hosts, count, gossip);
            case "told" ->
                new PartitionService(
                        io,
                        settings,
                        relay,
                        hosts,
                        count,
                        new PartitionService.Told((int) told.getLong("me", 0), count));
            default -> null;
        };
        fleet = settings.get(SettingKeys.FLEET_LISTEN).equals("off")
                ? null
                : new LeaseService(
                        io,
                        settings,
                        config.state(),
                        config.seed(),
                        new LeaseService.Work(relay, discovery, hosts, order, reader));
    }

    /** Says good-bye to all: the process ends, or its addresses are another's from now on. */
    void leave() {
        if (shares != null) {
            shares.leave();
        }
        if (gossip != null) {
            gossip.leave();
        }
        if (fleet != null) {
            fleet.leave();
        }
    }

    /** Reads what fresh settings name; what applies it, whole. */
    Runnable reload(Settings fresh) throws IOException {
        return gossip == null ? () -> {} : gossip.reload(fresh);
    }

    /** Whether there are leases to be asked about. */
    boolean leases() {
        return fleet != null;
    }

    /** The versions that the fleet agrees on, or null. */
    VersionService versions() {
        return fleet == null ? null : fleet.versions();
    }

    CommandResult told(OperatorCommand.Fleet command) {
        return fleet.told(command);
    }
}
