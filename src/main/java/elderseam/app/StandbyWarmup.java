package elderseam.app;

import elderseam.core.InMemoryJournalStore;
import elderseam.core.Journal;
import elderseam.core.Lifecycle;
import elderseam.core.RequestDispatcher;
import elderseam.frontend.platform.EndpointList;
import elderseam.frontend.platform.PlatformAttemptSender;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.frontend.platform.PlatformFrontend;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.policy.ListUpdateKind;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * The walk through a whole dispatcher that a newer process takes beside the older one: journal in memory, a listener at a port of
 * its own, nothing that could be taken on. What it builds is thrown away; the code has been run.
 */
final class StandbyWarmup {
    private static final int FEW = 4;

    private StandbyWarmup() {}

    /** {@code then} is run once, warm or not. */
    static void warm(IoLoop io, PlatformConfiguration config, Runnable then) {
        try {
            Journal journal = new Journal(new InMemoryJournalStore(), 1 << 20, io.clock);
            RequestDispatcher relay = new RequestDispatcher(
                    config.settings().settings(), config.seed(), journal, io.clock, io, words -> {});
            EndpointList hosts = new EndpointList(config.settings());
            EndpointConnectionPool few = new EndpointConnectionPool(io, 1, FEW, PlatformFrontend.MOST_BODY);
            PlatformFrontend front = new PlatformFrontend(
                    io, few, new EndpointAddress("none", ""), relay, config.settings(), null, new Lifecycle());
            relay.registerFrontend(
                    PlatformFrontend.NUMBER, front, new PlatformAttemptSender(io, few, hosts, config.settings()));
            relay.updateEndpoints(
                    ListUpdateKind.CACHED, hosts.decode(config.known().get("servers"), true));
            HttpServer server = new HttpServer(
                    io,
                    new InetSocketAddress(config.listen().getAddress(), 0),
                    PlatformFrontend.MOST_BODY,
                    FEW,
                    config.limits().reading(),
                    null,
                    front::handle);
            StartupWarmup.walk(
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
