package elderseam.wiring;

import elderseam.control.Command;
import elderseam.control.Verdict;
import elderseam.core.Relay;
import elderseam.core.SettingsMap;
import elderseam.http.Io;
import elderseam.platform.Config;
import elderseam.platform.Discovery;
import elderseam.platform.Hosts;
import elderseam.settings.Keys;
import elderseam.settings.Settings;
import java.io.IOException;

/**
 * All by which a dispatcher knows of the others of its fleet: gossip, shares of what all do, leases. Each is null while it is off, and
 * then none of its classes is loaded. Of the I/O thread.
 */
final class Neighbours {
    private final Io io;
    private final Config config;
    private final Settings settings;
    private final Relay relay;
    private final Discovery discovery;
    private final Hosts hosts;
    private final OneOrder order;
    private final VersionsWiring.Reader reader;
    private GossipWiring gossip;
    private ShareWiring shares;
    private FleetWiring fleet;

    /** {@code order}: where one member orders the certificate for all, else null; {@code reader}: of versions. */
    Neighbours(
            Io io,
            Config config,
            Settings settings,
            Relay relay,
            Discovery discovery,
            Hosts hosts,
            OneOrder order,
            VersionsWiring.Reader reader)
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
        int count = told.settings().senders();
        gossip = settings.get(Keys.GOSSIP_LISTEN).equals("off") ? null : new GossipWiring(io, settings, relay);
        shares = switch (settings.get(Keys.SHARES_MEMBERS)) {
            case "gossip" -> new ShareWiring(io, settings, relay, hosts, count, gossip);
            case "told" ->
                new ShareWiring(
                        io, settings, relay, hosts, count, new ShareWiring.Told((int) told.whole("me", 0), count));
            default -> null;
        };
        fleet = settings.get(Keys.FLEET_LISTEN).equals("off")
                ? null
                : new FleetWiring(
                        io,
                        settings,
                        config.state(),
                        config.seed(),
                        new FleetWiring.Work(relay, discovery, hosts, order, reader));
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
    VersionsWiring versions() {
        return fleet == null ? null : fleet.versions();
    }

    Verdict told(Command.Fleet command) {
        return fleet.told(command);
    }
}
