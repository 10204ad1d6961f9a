package elderseam.app;

import static elderseam.logging.LogField.error;

import elderseam.core.BreakerListener;
import elderseam.core.InMemoryJournalStore;
import elderseam.core.Journal;
import elderseam.core.Lifecycle;
import elderseam.core.RequestDispatcher;
import elderseam.core.RetryAfterListener;
import elderseam.frontend.platform.EndpointList;
import elderseam.frontend.platform.PlatformAttemptSender;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.frontend.platform.PlatformFrontend;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import elderseam.policy.ListUpdateKind;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Warms up a newer process beside the older one that still serves: builds a whole dispatcher with a journal in memory
 * and a listener at a port of its own, runs {@link StartupWarmup} through it, and throws it away. Confined to the I/O
 * thread.
 */
final class StandbyWarmup {
    private static final EventLogger LOG = EventLogger.of(StandbyWarmup.class);

    private static final int MAX_CONNECTIONS = 4;
    private static final long IDLE_NS = 1;
    private static final int JOURNAL_BYTES = 1 << 20;

    private StandbyWarmup() {}

    /** Begins to warm up; {@code onDone} is called once, warmed up or not. */
    static void run(IoLoop io, PlatformConfiguration config, Runnable onDone) {
        try {
            HttpServer server = server(io, config, dispatcher(io, config));
            String requestClass = config.settings().names("services").get(0);
            StartupWarmup.run(io, server.address(), requestClass, () -> {
                server.stopAccepting();
                server.closeConnections();
                onDone.run();
            });
        } catch (IOException | RuntimeException e) { // whatever it is, a cold takeover is better than none
            LOG.warn("handover.warmup_failed", error(e));
            onDone.run();
        }
    }

    private static PlatformFrontend dispatcher(IoLoop io, PlatformConfiguration config) throws IOException {
        Journal journal = new Journal(new InMemoryJournalStore(), JOURNAL_BYTES, io.clock);
        RequestDispatcher dispatcher = new RequestDispatcher(
                config.settings().toPolicySettings(), config.seed(), journal, io.clock, io, BreakerListener.NONE);
        EndpointList endpoints = new EndpointList(config.settings());
        EndpointConnectionPool connections =
                new EndpointConnectionPool(io, IDLE_NS, MAX_CONNECTIONS, PlatformFrontend.MAX_BODY_BYTES);
        PlatformFrontend frontend = new PlatformFrontend(
                io, connections, new EndpointAddress("none", ""), dispatcher, config.settings(), null, new Lifecycle());
        dispatcher.registerFrontend(
                PlatformFrontend.NUMBER,
                frontend,
                new PlatformAttemptSender(io, connections, endpoints, config.settings(), RetryAfterListener.NONE));
        dispatcher.updateEndpoints(
                ListUpdateKind.CACHED,
                endpoints.update(config.cachedEndpointList().get("servers"), true));
        return frontend;
    }

    private static HttpServer server(IoLoop io, PlatformConfiguration config, PlatformFrontend frontend)
            throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(config.listenAddress().getAddress(), 0);
        return new HttpServer(
                io,
                anyPort,
                PlatformFrontend.MAX_BODY_BYTES,
                MAX_CONNECTIONS,
                config.limits().requestBytes(),
                null,
                frontend::handle);
    }
}
