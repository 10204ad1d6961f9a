package elderseam.app;

import elderseam.acme.CertificateManager;
import elderseam.core.AdmissionRules;
import elderseam.core.Clock;
import elderseam.core.RequestDispatcher;
import elderseam.frontend.cloudevents.EventAttemptSender;
import elderseam.frontend.cloudevents.EventConfiguration;
import elderseam.frontend.cloudevents.EventFrontend;
import elderseam.frontend.platform.EndpointList;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.frontend.platform.ResourceLimits;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import java.io.IOException;
import java.util.List;
import javax.net.ssl.SSLContext;

/** Wires the CloudEvents front; where it is off, and owes nothing from an earlier process, this class is not loaded. */
final class CloudEventsSetup {
    private static final int MOST_CLIENTS = 64;
    private static final long HEARD_NS = 1_500 * Clock.MS, LOOK_NS = 50 * Clock.MS;

    private final IoLoop io;
    private final EventConfiguration events;
    private final ResourceLimits limits;
    private final EventFrontend front;
    private final List<HttpServer> servers;
    private final LeasedCertificateOrder order; // null where each orders its certificate

    CloudEventsSetup(
            IoLoop io,
            PlatformConfiguration config,
            EventConfiguration events,
            RequestDispatcher relay,
            EndpointConnectionPool upstream,
            EndpointList hosts,
            List<HttpServer> servers,
            AdmissionRules rulings,
            LeasedCertificateOrder order) {
        this.io = io;
        this.events = events;
        this.limits = config.limits();
        this.servers = servers;
        this.order = order;
        this.front = new EventFrontend(io.clock, relay, config.settings(), events, rulings);
        relay.registerFrontend(EventFrontend.NUMBER, front, new EventAttemptSender(upstream, hosts::host));
    }

    /** Connections of clients that this front takes of all. */
    int clients() {
        return events.listen().isEmpty() ? 0 : Math.min(MOST_CLIENTS, limits.downstream() / 4);
    }

    /** From the next event on. */
    void rulings(AdmissionRules rulings) {
        front.rulings(rulings);
    }

    void listen() throws IOException {
        if (!events.listen().isEmpty() && events.directory().isEmpty()) {
            listen(clients(), null);
        } else if (!events.listen().isEmpty()) {
            certify(clients() / 2);
        }
    }

    private HttpServer listen(int most, SSLContext context) throws IOException {
        HttpServer server = new HttpServer(
                io,
                PlatformConfiguration.address(events.listen()),
                EventFrontend.MOST_BODY,
                most,
                limits.reading(),
                context,
                front::handle);
        servers.add(server);
        System.err.println("events on " + server.address());
        return server;
    }

    /** The events' listener opens with its first certificate, and gets each later one. */
    private void certify(int most) throws IOException {
        HttpServer[] secure = new HttpServer[1];
        CertificateManager certificates = new CertificateManager(
                events.directory(),
                events.names(),
                events.folder(),
                context -> io.run(() -> {
                    try {
                        if (secure[0] == null) {
                            secure[0] = listen(most, context);
                        } else {
                            secure[0].renew(context);
                        }
                    } catch (IOException e) {
                        System.err.println("events: " + e);
                    }
                }),
                order);
        if (order != null) {
            order.serves(certificates);
        }
        servers.add(new HttpServer(
                io,
                PlatformConfiguration.address(events.challenges()),
                1 << 10,
                most,
                limits.reading(),
                null,
                (r, to) -> challenge(certificates, r, to, io.clock.now() + HEARD_NS)));
        certificates.start();
    }

    /** The authority may look here before the order of another member has been heard of. */
    private void challenge(CertificateManager certificates, HttpServer.Request r, HttpServer.Answerer to, long by) {
        if (order == null || certificates.proves(r.path()) || io.clock.now() >= by) {
            certificates.challenge(r, to);
        } else {
            io.at(io.clock.now() + LOOK_NS, () -> challenge(certificates, r, to, by));
        }
    }
}
