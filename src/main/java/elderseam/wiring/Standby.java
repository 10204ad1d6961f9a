package elderseam.wiring;

import elderseam.core.Journal;
import elderseam.core.Lifecycle;
import elderseam.core.Relay;
import elderseam.emulator.MemoryStore;
import elderseam.http.Connections;
import elderseam.http.Io;
import elderseam.http.Server;
import elderseam.http.UpstreamHost;
import elderseam.module.Sender;
import elderseam.platform.Config;
import elderseam.platform.Hosts;
import elderseam.platform.PlatformFront;
import elderseam.platform.PlatformUpstream;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * The walk through a whole dispatcher that a newer process takes beside the older one: journal in memory, a listener at a port of
 * its own, nothing that could be taken on. What it builds is thrown away; the code has been run.
 */
final class Standby {
    private static final int FEW = 4;

    private Standby() {}

    /** {@code then} is run once, warm or not. */
    static void warm(Io io, Config config, Runnable then) {
        try {
            Journal journal = new Journal(new MemoryStore(), 1 << 20, io.clock);
            Relay relay = new Relay(config.settings().settings(), config.seed(), journal, io.clock, io, words -> {});
            Hosts hosts = new Hosts(config.settings());
            Connections few = new Connections(io, 1, FEW, PlatformFront.MOST_BODY);
            PlatformFront front = new PlatformFront(
                    io, few, new UpstreamHost("none", ""), relay, config.settings(), null, new Lifecycle());
            relay.front(PlatformFront.NUMBER, front, new PlatformUpstream(io, few, hosts, config.settings()));
            relay.hosts(Sender.ListKind.CACHED, hosts.decode(config.known().at("servers"), true));
            Server server = new Server(
                    io,
                    new InetSocketAddress(config.listen().getAddress(), 0),
                    PlatformFront.MOST_BODY,
                    FEW,
                    config.limits().reading(),
                    null,
                    front::handle);
            WarmPath.walk(
                    io, server.address(), config.settings().names("services").get(0), () -> {
                        server.stopAccepting();
                        server.closeConnections();
                        then.run();
                    });
        } catch (IOException | RuntimeException e) {
            System.err.println("standby: not warm: " + e);
            then.run();
        }
    }
}
