package elderseam;

import elderseam.cloudevents.EventConfig;
import elderseam.cloudevents.EventFront;
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
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;

/** One dispatcher, in the order of its life: start, recovery, readiness, reload, drain. */
final class Daemon {
    private static final long COMING_NS = 500 * Clock.MS;           // clients may still connect after SIGTERM
    private static final long END_NS = 3_300 * Clock.MS;            // SIGKILL follows from 3.7 s
    private static final int MOST_LIST = 1 << 20;
    private static final long LOOK_NS = 20 * Clock.MS;
    /** Held, since a logger that nobody holds forgets its level. */
    private static final List<Logger> QUIET = new ArrayList<>();

    private final Config config;
    private final Io io;
    private final Relay relay;
    private final PlatformFront front;
    private final Discovery discovery;
    private final List<Server> servers = new ArrayList<>();
    private final long born;

    /** Starts one, and returns once its threads run; a start that fails ends the process with 1. */
    static void serve(Map<String, String> variables, Path settingsFile) throws IOException {
        Clock clock = new Clock();
        long born = clock.now();
        lean();
        EventConfig events = OperatorFile.events(settingsFile);
        Config config = Config.read(variables);
        Journal journal = new Journal(config.state(), config.limits().diskBytes(), clock);
        Io io = new Io(clock);
        io.run(() -> {
            try {
                new Daemon(config, events, journal, io, born).begin(variables);
            } catch (IOException | RuntimeException e) {
                e.printStackTrace();
                Runtime.getRuntime().halt(1);
            }
        });
    }

    /**
     * What XNIO does of its own accord at a start and nobody here reads: it registers MBeans, for which the JVM's whole
     * management starts (a fifth of the CPU of a start, and 7 MB), and greets with its version. An operator who asks for
     * JMX on the command line has it still: that starts before.
     */
    private static void lean() {
        if (System.getProperty("javax.management.builder.initial") == null
                && System.getProperty("com.sun.management.jmxremote") == null) {
            System.setProperty("javax.management.builder.initial", "none");
        }
        for (String name : List.of("org.xnio", "org.jboss.threads", "io.undertow")) {
            Logger logger = Logger.getLogger(name);
            logger.setLevel(Level.WARNING);
            QUIET.add(logger);
        }
    }

    private Daemon(Config config, EventConfig events, Journal journal, Io io, long born) throws IOException {
        this.config = config;
        this.io = io;
        this.born = born;
        var settings = config.settings().settings();
        Limits limits = config.limits();
        long idleNs = settings.connections().idleNs() * 4 / 5;
        Hosts hosts = new Hosts(config.settings());
        Connections upstream = new Connections(io, idleNs, limits.upstream(), PlatformFront.MOST_BODY);
        Connections platform = new Connections(io, idleNs, Limits.PLATFORM, MOST_LIST);
        relay = new Relay(settings, config.seed(), journal, io.clock, io);
        io.onAway(relay::away);
        front = new PlatformFront(io, platform, discovery(config), relay, config.settings());
        relay.front(PlatformFront.NUMBER, front, new PlatformUpstream(io, upstream, hosts, config.settings()));
        discovery = new Discovery(io, platform, discovery(config), hosts, relay);
        relay.onWatch(discovery::watch);
        int eventClients = 0;
        if (!events.listen().isEmpty() || journal.owes(EventFront.NUMBER)) {   // else none of its classes is loaded
            EventsWiring second = new EventsWiring(io, config, events, relay, upstream, hosts, servers);
            eventClients = second.clients();
            servers.add(0, server(eventClients));
            second.listen();
        } else {
            servers.add(server(0));
        }
    }

    private Server server(int eventClients) throws IOException {
        Limits limits = config.limits();
        return new Server(io, config.listen(), PlatformFront.MOST_BODY, limits.downstream() - eventClients,
                limits.reading(), null, front::handle);
    }

    /** Ends that are known and the first calls go out before anything that waits at the port is read. */
    private void begin(Map<String, String> variables) {
        discovery.known(config.known());
        relay.recover(front::owed, () -> WarmPath.walk(io, servers.get(0).address(),
                config.settings().names("services").get(0), () -> {
            front.ready();
            System.err.println("ready after " + (io.clock.now() - born) / Clock.MS + " ms, away for "
                    + io.longestAway() / Clock.MS + " ms at most");
        }));
        System.err.println("serving on " + servers.get(0).address() + ", " + relay.held() + " messages taken back");
        Reload.onHangUp(variables, fresh -> io.run(() -> reload(fresh)));
        Runtime.getRuntime().addShutdownHook(new Thread(this::drain, "drain"));
    }

    private static UpstreamHost discovery(Config config) {
        return new UpstreamHost("discovery", config.discovery());
    }

    private void reload(Config fresh) {
        discovery.move(discovery(fresh));
        front.move(discovery(fresh));
        System.err.println("configuration read again, discovery at " + fresh.discovery());
    }

    /** On SIGTERM: answers all that comes, settles what is out, and ends with 0. */
    private void drain() {
        long start = io.clock.now();
        CountDownLatch ended = new CountDownLatch(1);
        io.run(() -> {
            front.closing();
            servers.forEach(Server::closing);
            relay.closing(start + END_NS);
            System.err.println("draining");
            io.at(start + COMING_NS, () -> {
                servers.forEach(Server::stopAccepting);
                settle(start + END_NS, ended);
            });
        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    private void settle(long end, CountDownLatch ended) {
        boolean settled = relay.held() == 0 && front.owed() == 0;
        if (servers.get(0).unanswered() == 0 && (settled || relay.out() == 0 && io.clock.now() > end - COMING_NS)
                || io.clock.now() > end) {
            servers.forEach(Server::closeConnections);
            ended.countDown();
            return;
        }
        io.at(io.clock.now() + LOOK_NS, () -> settle(end, ended));
    }
}
