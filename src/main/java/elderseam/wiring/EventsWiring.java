package elderseam.wiring;

import elderseam.acme.Certificates;
import elderseam.cloudevents.EventConfig;
import elderseam.cloudevents.EventFront;
import elderseam.cloudevents.EventUpstream;
import elderseam.core.Clock;
import elderseam.core.Relay;
import elderseam.core.Rulings;
import elderseam.http.Connections;
import elderseam.http.Io;
import elderseam.http.Server;
import elderseam.platform.Config;
import elderseam.platform.Hosts;
import elderseam.platform.Limits;
import java.io.IOException;
import java.util.List;
import javax.net.ssl.SSLContext;

/** Wires the CloudEvents front; where it is off, and owes nothing from an earlier process, this class is not loaded. */
final class EventsWiring {
    private static final int MOST_CLIENTS = 64;
    private static final long HEARD_NS = 1_500 * Clock.MS, LOOK_NS = 50 * Clock.MS;

    private final Io io;
    private final EventConfig events;
    private final Limits limits;
    private final EventFront front;
    private final List<Server> servers;
    private final OneOrder order; // null where each orders its certificate

    EventsWiring(
            Io io,
            Config config,
            EventConfig events,
            Relay relay,
            Connections upstream,
            Hosts hosts,
            List<Server> servers,
            Rulings rulings,
            OneOrder order) {
        this.io = io;
        this.events = events;
        this.limits = config.limits();
        this.servers = servers;
        this.order = order;
        this.front = new EventFront(io.clock, relay, config.settings(), events, rulings);
        relay.front(EventFront.NUMBER, front, new EventUpstream(upstream, hosts::host));
    }

    /** Connections of clients that this front takes of all. */
    int clients() {
        return events.listen().isEmpty() ? 0 : Math.min(MOST_CLIENTS, limits.downstream() / 4);
    }

    /** From the next event on. */
    void rulings(Rulings rulings) {
        front.rulings(rulings);
    }

    void listen() throws IOException {
        if (!events.listen().isEmpty() && events.directory().isEmpty()) {
            listen(clients(), null);
        } else if (!events.listen().isEmpty()) {
            certify(clients() / 2);
        }
    }

    private Server listen(int most, SSLContext context) throws IOException {
        Server server = new Server(
                io,
                Config.address(events.listen()),
                EventFront.MOST_BODY,
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
        Server[] secure = new Server[1];
        Certificates certificates = new Certificates(
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
        servers.add(new Server(
                io,
                Config.address(events.challenges()),
                1 << 10,
                most,
                limits.reading(),
                null,
                (r, to) -> challenge(certificates, r, to, io.clock.now() + HEARD_NS)));
        certificates.start();
    }

    /** The authority may look here before the order of another member has been heard of. */
    private void challenge(Certificates certificates, Server.Request r, Server.Answerer to, long by) {
        if (order == null || certificates.proves(r.path()) || io.clock.now() >= by) {
            certificates.challenge(r, to);
        } else {
            io.at(io.clock.now() + LOOK_NS, () -> challenge(certificates, r, to, by));
        }
    }
}
