package elderseam;

import elderseam.acme.Authority;
import elderseam.acme.Certificates;
import elderseam.cloudevents.EventConfig;
import elderseam.cloudevents.EventFront;
import elderseam.cloudevents.EventUpstream;
import elderseam.core.Clock;
import elderseam.core.Journal;
import elderseam.core.Relay;
import elderseam.http.Connections;
import elderseam.http.Io;
import elderseam.http.Server;
import elderseam.http.UpstreamHost;
import elderseam.platform.Config;
import elderseam.platform.Discovery;
import elderseam.platform.Hosts;
import elderseam.platform.Limits;
import elderseam.platform.PlatformFront;
import elderseam.platform.PlatformUpstream;
import elderseam.sim.Host;
import elderseam.sim.WireException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import javax.net.ssl.SSLContext;

/** Entry point: {@code serve} is one dispatcher, {@code simhost} the same decisions on the simulator's wire. */
public final class Main {
    private static final long COMING_NS = 500 * Clock.MS;           // clients may still connect after SIGTERM
    private static final long END_NS = 3_300 * Clock.MS;            // SIGKILL follows from 3.7 s
    private static final int MOST_EVENT_CLIENTS = 64, MOST_LIST = 1 << 20;
    private static final long LOOK_NS = 20 * Clock.MS;

    private Main() {}

    public static void main(String[] args) throws Exception {
        String mode = args.length == 0 ? "" : args[0];
        if (mode.equals("authority") && args.length == 3) {
            authority(args[1], Integer.parseInt(args[2]));
            return;
        }
        switch (mode) {
            case "serve" -> serve(args.length > 1 ? args[1] : "deploy/events.properties");
            case "simhost" -> simulate();
            default -> {
                System.err.println("usage: java -jar elderseam.jar serve [EVENTS-FILE] | simhost"
                        + " | authority ADDRESS CHALLENGE-PORT");
                System.exit(2);
            }
        }
    }

    private static void simulate() throws IOException {
        try {
            new Host(System.in, System.out).run();
        } catch (WireException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
    }

    private static void serve(String eventsFile) throws Exception {
        Clock clock = new Clock();
        Config config = Config.read(System.getenv());
        EventConfig events = EventConfig.read(Path.of(eventsFile));
        Journal journal = new Journal(config.state(), config.limits().diskBytes(), clock);
        Io io = new Io(clock);
        io.run(() -> {
            try {
                wire(config, events, journal, io);
            } catch (IOException | RuntimeException e) {
                e.printStackTrace();
                Runtime.getRuntime().halt(1);
            }
        });
    }

    private static void wire(Config config, EventConfig events, Journal journal, Io io) throws IOException {
        var settings = config.settings().settings();
        Relay relay = new Relay(settings, config.seed(), journal, io.clock, io::at);
        Hosts hosts = new Hosts(config.settings());
        Limits limits = config.limits();
        long idleNs = settings.connections().idleNs() * 4 / 5;
        Connections upstream = new Connections(io, idleNs, limits.upstream(), PlatformFront.MOST_BODY);
        Connections platform = new Connections(io, idleNs, Limits.PLATFORM, MOST_LIST);
        PlatformFront front = new PlatformFront(io, platform, discovery(config), relay, config.settings());
        relay.front(PlatformFront.NUMBER, front, new PlatformUpstream(io, upstream, hosts, config.settings()));
        EventFront eventFront = new EventFront(io.clock, relay, config.settings(), events.rememberNs());
        relay.front(EventFront.NUMBER, eventFront, new EventUpstream(upstream, hosts::host));
        Discovery discovery = new Discovery(io, platform, discovery(config), hosts, relay);
        relay.onWatch(discovery::watch);
        discovery.known(config.known());
        relay.restore();
        int eventClients = events.listen().isEmpty() ? 0 : Math.min(MOST_EVENT_CLIENTS, limits.downstream() / 4);
        Server server = new Server(io, config.listen(), PlatformFront.MOST_BODY, limits.downstream() - eventClients,
                limits.reading(), null, front::handle);
        List<Server> servers = new ArrayList<>(List.of(server));
        if (!events.listen().isEmpty() && events.directory().isEmpty()) {
            listen(io, events, eventClients, limits, null, eventFront, servers);
        } else if (!events.listen().isEmpty()) {
            certify(io, events, eventClients / 2, limits, eventFront, servers);
        }
        System.err.println("serving on " + server.address() + ", " + relay.held() + " messages taken back");
        Reload.onHangUp(System.getenv(), fresh -> io.run(() -> {
            discovery.move(discovery(fresh));
            front.move(discovery(fresh));
            System.err.println("configuration read again, discovery at " + fresh.discovery());
        }));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(io, relay, front, servers), "drain"));
    }

    private static UpstreamHost discovery(Config config) {
        return new UpstreamHost("discovery", config.discovery());
    }

    private static Server listen(Io io, EventConfig events, int most, Limits limits, SSLContext context, EventFront front,
                                 List<Server> servers) throws IOException {
        Server server = new Server(io, Config.address(events.listen()), EventFront.MOST_BODY, most, limits.reading(), context,
                front::handle);
        servers.add(server);
        System.err.println("events on " + server.address());
        return server;
    }

    /** The events' listener opens with its first certificate, and gets each later one. */
    private static void certify(Io io, EventConfig events, int most, Limits limits, EventFront front, List<Server> servers)
            throws IOException {
        Server[] secure = new Server[1];
        Certificates certificates = new Certificates(events.directory(), events.names(), events.folder(),
                context -> io.run(() -> {
                    try {
                        if (secure[0] == null) {
                            secure[0] = listen(io, events, most, limits, context, front, servers);
                        } else {
                            secure[0].renew(context);
                        }
                    } catch (IOException e) {
                        System.err.println("events: " + e);
                    }
                }));
        servers.add(new Server(io, Config.address(events.challenges()), 1 << 10, most, limits.reading(), null,
                certificates::challenge));
        certificates.start();
    }

    /** The stand-in authority of rehearsals. */
    private static void authority(String address, int challengePort) throws IOException {
        Authority authority = new Authority(new Io(new Clock()), Config.address(address), challengePort);
        System.err.println("directory at " + authority.directory());
    }

    /** On SIGTERM: answers all that comes, settles what is out, and ends with 0. */
    private static void drain(Io io, Relay relay, PlatformFront front, List<Server> servers) {
        long start = io.clock.now();
        CountDownLatch ended = new CountDownLatch(1);
        io.run(() -> {
            front.closing();
            servers.forEach(Server::closing);
            relay.closing(start + END_NS);
            System.err.println("draining");
            io.at(start + COMING_NS, () -> {
                servers.forEach(Server::stopAccepting);
                settle(io, relay, front, servers, start + END_NS, ended);
            });
        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    private static void settle(Io io, Relay relay, PlatformFront front, List<Server> servers, long end, CountDownLatch ended) {
        boolean settled = relay.held() == 0 && front.owed() == 0;
        if (servers.get(0).unanswered() == 0 && (settled || relay.out() == 0 && io.clock.now() > end - COMING_NS)
                || io.clock.now() > end) {
            servers.forEach(Server::closeConnections);
            ended.countDown();
            return;
        }
        io.at(io.clock.now() + LOOK_NS, () -> settle(io, relay, front, servers, end, ended));
    }
}
