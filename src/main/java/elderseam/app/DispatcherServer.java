package elderseam.app;

import elderseam.control.CommandResult;
import elderseam.control.ControlServer;
import elderseam.control.OperatorCommand;
import elderseam.control.OperatorCommands;
import elderseam.core.Clock;
import elderseam.core.Handover;
import elderseam.core.Journal;
import elderseam.core.JsonValue;
import elderseam.core.Lifecycle;
import elderseam.core.PolicySnapshots;
import elderseam.core.RequestDispatcher;
import elderseam.core.SkewedClock;
import elderseam.frontend.cloudevents.EventConfiguration;
import elderseam.frontend.cloudevents.EventFrontend;
import elderseam.frontend.platform.DiscoveryWatcher;
import elderseam.frontend.platform.EndpointList;
import elderseam.frontend.platform.PlatformAttemptSender;
import elderseam.frontend.platform.PlatformConfiguration;
import elderseam.frontend.platform.PlatformFrontend;
import elderseam.frontend.platform.ResourceLimits;
import elderseam.frontend.platform.SuccessorProxy;
import elderseam.handover.HandoverChannel;
import elderseam.handover.HandoverFrame;
import elderseam.handover.HandoverSender;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.http.XnioStartup;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

/** One dispatcher, in the order of its life: start, recovery, readiness, reload, drain. */
public final class DispatcherServer implements OwnershipTransfer.Estate {
    private static final long COMING_NS = 500 * Clock.MS; // clients may still connect after SIGTERM
    private static final long END_NS = 3_300 * Clock.MS; // SIGKILL follows from 3.7 s
    private static final long PARTING_NS = 500 * Clock.MS,
            PARTED_NS = 200 * Clock.MS; // for clients to end their side; and beyond the end
    private static final long KEPT_NS = 700 * Clock.MS,
            AGAIN_NS = 50 * Clock.MS; // idle clients in a drain: from when, how often
    private static final int MOST_LIST = 1 << 20;
    private static final long LOOK_NS = 20 * Clock.MS;
    private static final long UNASKED_NS = 10_000 * Clock.MS; // for clients of a process that has passed its work on

    private final PlatformConfiguration config;
    private final IoLoop io;
    private final RequestDispatcher relay;
    private final PlatformFrontend front;
    private final DiscoveryWatcher discovery;
    private final EndpointList hosts;
    private final Path settingsFile;
    private final Settings settings;
    private final Journal journal;
    private final EndpointConnectionPool upstream;
    private final ServerSocketChannel inherited; // null: it listens by itself
    private final OwnershipAcquisition.Won won;
    private final OwnershipTransfer succession;
    private SuccessorProxy passing; // null until another process has the work
    private long endsBy; // once it has: when this one ends at the latest
    private final Lifecycle life = new Lifecycle();
    private final ControlServer control; // null where there is none
    private boolean looking; // for connections of clients that stand idle in a drain
    private final LiveConfiguration rereading;
    private final FleetServices neighbours;
    private final List<HttpServer> servers = new ArrayList<>();
    private final long born;

    /** Starts one, and returns once its threads run; a start that fails ends the process with 1. */
    public static void serve(Map<String, String> variables, Path settingsFile) throws IOException {
        long started = System.nanoTime();
        XnioStartup.start();
        OperatorSettings.Read told = OperatorSettings.read(settingsFile);
        Clock clock = clock(told.settings());
        long born = clock.now() - (System.nanoTime() - started);
        PlatformConfiguration config = PlatformConfiguration.read(variables);
        ServerSocketChannel inherited = inherited(variables);
        IoLoop io = new IoLoop(clock);
        ControlServer control = config.control() == null ? null : new ControlServer(io, config.control());
        OwnershipAcquisition.Won won = OwnershipAcquisition.seek(io, config);
        Journal journal = new Journal(
                config.state(),
                config.limits().diskBytes()
                        - PolicySnapshots.reservedBytes(config.limits().diskBytes()),
                clock);
        io.run(() -> {
            try {
                new DispatcherServer(config, told, settingsFile, journal, io, control, inherited, won, born)
                        .begin(variables);
            } catch (SettingsFault e) {
                e.faults().forEach(System.err::println);
                Runtime.getRuntime().halt(1);
            } catch (IOException | RuntimeException e) {
                e.printStackTrace();
                Runtime.getRuntime().halt(1);
            }
        });
    }

    /** The system's, but for a rehearsal that bends it. */
    private static Clock clock(Settings s) {
        long percent = s.get(SettingKeys.REHEARSAL_CLOCK_PERCENT), ahead = s.get(SettingKeys.REHEARSAL_CLOCK_AHEAD_MS);
        return percent == 100 && ahead == 0 ? new Clock() : SkewedClock.of(percent / 100.0, ahead);
    }

    /** The listening socket that the platform holds and every process of the dispatcher is given, or null. */
    private static ServerSocketChannel inherited(Map<String, String> variables) throws IOException {
        String number = variables.getOrDefault("RELAY_LISTEN_FD", "");
        if (number.isEmpty()) {
            return null;
        }
        if (!number.equals("0") || !(System.inheritedChannel() instanceof ServerSocketChannel socket)) {
            throw new IOException("RELAY_LISTEN_FD=" + number + ": only 0, a listening TCP socket, can be taken over");
        }
        return socket;
    }

    private DispatcherServer(
            PlatformConfiguration config,
            OperatorSettings.Read told,
            Path settingsFile,
            Journal journal,
            IoLoop io,
            ControlServer control,
            ServerSocketChannel inherited,
            OwnershipAcquisition.Won won,
            long born)
            throws IOException {
        EventConfiguration events = told.events();
        this.settings = told.settings();
        this.settingsFile = settingsFile;
        this.config = config;
        this.io = io;
        this.journal = journal;
        this.control = control;
        this.inherited = inherited;
        this.won = won;
        this.succession = new OwnershipTransfer(io, won.owner(), this);
        this.born = born;
        var module = config.settings().settings();
        ResourceLimits limits = config.limits();
        long idleNs = module.connections().idleNs() * 4 / 5;
        hosts = new EndpointList(config.settings());
        upstream = new EndpointConnectionPool(io, idleNs, limits.upstream(), PlatformFrontend.MOST_BODY);
        EndpointConnectionPool platform = new EndpointConnectionPool(io, idleNs, ResourceLimits.PLATFORM, MOST_LIST);
        relay = new RequestDispatcher(module, config.seed(), journal, io.clock, io);
        io.onAway(relay::eventLoopStalled);
        rereading =
                new LiveConfiguration(new LiveConfiguration.Ties(io, relay, journal), config, settings, settingsFile);
        EndpointAddress asked = rereading.discovery(settings);
        front = new PlatformFrontend(io, platform, asked, relay, config.settings(), rereading.rules(), life);
        relay.registerFrontend(
                PlatformFrontend.NUMBER, front, new PlatformAttemptSender(io, upstream, hosts, config.settings()));
        discovery = new DiscoveryWatcher(io, platform, asked, hosts, relay);
        relay.onWatchRequested(discovery::watch);
        LeasedCertificateOrder order =
                settings.get(SettingKeys.FLEET_CERTIFICATES).equals("one")
                        ? new LeasedCertificateOrder(settings)
                        : null;
        CloudEventsSetup second = null;
        int eventClients = 0;
        if (!events.listen().isEmpty()
                || journal.hasWorkFor(EventFrontend.NUMBER)) { // else none of its classes is loaded
            second =
                    new CloudEventsSetup(io, config, events, relay, upstream, hosts, servers, rereading.rules(), order);
            eventClients = second.clients();
            servers.add(0, server(eventClients));
            second.listen();
        } else {
            servers.add(server(0));
        }
        rereading.of(front, second, discovery);
        neighbours = new FleetServices(io, config, settings, relay, discovery, hosts, order, rereading::version);
        rereading.of(neighbours);
    }

    private HttpServer server(int eventClients) throws IOException {
        ResourceLimits limits = config.limits();
        return new HttpServer(
                io,
                config.listen(),
                inherited,
                PlatformFrontend.MOST_BODY,
                limits.downstream() - eventClients,
                limits.reading(),
                null,
                this::handle);
    }

    private void handle(HttpServer.Request request, HttpServer.Answerer to) {
        if (passing == null) {
            front.handle(request, to);
        } else {
            passing.handle(request, to);
        }
    }

    /** Ends that are known and the first calls go out before anything that waits at the port is read. */
    private void begin(Map<String, String> variables) throws IOException {
        if (won.given() == null) {
            if (remembers()) {
                relay.snapshots().restoreAndSave();
            }
            discovery.known(config.known());
            relay.recover(
                    front::owed,
                    () -> StartupWarmup.walk(
                            io,
                            servers.get(0).address(),
                            config.settings().names("services").get(0),
                            this::ready));
        } else {
            takeOver(won.given());
            if (remembers()) {
                relay.snapshots().save();
            }
        }
        System.err.println(
                "serving on " + servers.get(0).address() + ", " + relay.requestsInFlight() + " messages taken back");
        if (control != null) {
            OperatorCommands operators = new OperatorCommands(
                    relay,
                    life,
                    config.settings().names("services"),
                    this::lameDuck,
                    this::rejoin,
                    neighbours.leases() ? neighbours::told : null,
                    neighbours.versions() == null
                            ? null
                            : c -> neighbours.versions().told(c));
            control.handler(
                    c -> succession.state() == HandoverSender.State.GIVEN && !(c instanceof OperatorCommand.Info)
                            ? CommandResult.no("this process passes its work on; ask the newer one, or again")
                            : operators.carryOut(c));
            System.err.println("control on " + control.address());
        }
        ReloadTrigger.onHangUp(
                () -> rereading.hangUp(variables),
                io::run,
                List.of(Path.of(variables.get("RELAY_CONFIG")), settingsFile));
        Runtime.getRuntime().addShutdownHook(new Thread(this::drain, "drain"));
    }

    /** Whether what is learned outlasts the process. */
    private boolean remembers() {
        return settings.get(SettingKeys.STATE_LEARNED).equals("kept")
                && PolicySnapshots.reservedBytes(config.limits().diskBytes()) > 0;
    }

    private void ready() {
        life.markStarted();
        System.err.println("ready after " + (io.clock.now() - born) / Clock.MS + " ms, away for "
                + io.longestAway() / Clock.MS + " ms at most");
        if (control != null) {
            succession.listen(config.state());
        }
    }

    /** Begins with what an older process has passed on, whose calls are still out; the code that is needed has run already. */
    private void takeOver(HandoverFrame.Give given) throws IOException {
        HandoverChannel link = won.link();
        upstream.most(config.limits().upstream() / 2); // descriptors are counted for both processes
        relay.handover()
                .takeOver(given.estate(), o -> link.send(new HandoverFrame.Abandon(o.requestId(), o.attempt())));
        discovery.takenOver(JsonValue.read(given.list().getBytes(StandardCharsets.UTF_8)));
        if (given.drains() && life.beginDrain()) {
            lameDuck();
        }
        link.send(new HandoverFrame.Owned());
        link.reading(
                frame -> {
                    if (frame instanceof HandoverFrame.Ended e) {
                        io.run(() -> relay.handover().outcomeForwarded(e.passed()));
                    }
                },
                () -> io.run(() -> {
                    upstream.most(config.limits().upstream());
                    relay.handover().predecessorGone();
                }));
        relay.recover(front::owed, this::ready);
    }

    // ---------------------------------------------------------------- passing on, as Succession asks

    @Override
    public HandoverFrame.Give give(Consumer<Handover.ForwardedOutcome> told) {
        servers.forEach(HttpServer::stopAccepting);
        passing = new SuccessorProxy(io, servers.get(0).address());
        discovery.passOn();
        front.passOn(true);
        upstream.closeIdle();
        neighbours.leave();
        return new HandoverFrame.Give(discovery.list(), relay.handover().transferTo(told), life.isDraining());
    }

    @Override
    public void resume(List<Handover.ForwardedOutcome> heard) {
        try {
            for (HttpServer s : servers) {
                s.accept();
            }
            neighbours.join();
        } catch (IOException e) { // the address is another's: this process is of no use any more
            System.err.println("upgrade: " + e);
            Runtime.getRuntime().halt(1);
        }
        SuccessorProxy back = passing;
        passing = null;
        relay.handover().takeBack(heard);
        front.passOn(false);
        discovery.resume();
        back.back(front::handle);
    }

    @Override
    public void leave() {
        life.beginEnd();
        servers.forEach(s -> s.closing(true));
        servers.stream()
                .skip(1)
                .forEach(HttpServer::closeConnections); // clients of events ask again, with the same identity
        passing.open();
        endsBy = io.clock.now() + UNASKED_NS;
        io.at(io.clock.now() + COMING_NS, this::left);
    }

    @Override
    public void abandon(String id, int attempt) {
        relay.handover().cancelAttempt(id, attempt);
    }

    /** Ends once the calls that are out have been told of and no client is connected. */
    private void left() {
        servers.forEach(HttpServer::closeIdle);
        boolean done = relay.attemptsInFlight() == 0
                && passing.quiet()
                && servers.stream().allMatch(s -> s.open() == 0);
        if (done && succession.flushed() || io.clock.now() > endsBy) {
            System.err.println("left");
            Runtime.getRuntime().halt(0);
        }
        io.at(io.clock.now() + LOOK_NS, this::left);
    }

    /** LAMEDUCK: no new clients; those that are there are answered, and their connections closed. Nothing that is held ends by it. */
    private void lameDuck() {
        System.err.println("lame duck");
        servers.forEach(s -> s.closing(true));
        if (!looking) {
            looking = true;
            io.at(io.clock.now() + KEPT_NS, this::closeKept);
        }
    }

    private void closeKept() {
        looking = life.closesConnections();
        if (looking) {
            servers.forEach(HttpServer::closeIdle);
            life.setClientsGone(servers.stream().allMatch(s -> s.open() == 0));
            io.at(io.clock.now() + AGAIN_NS, this::closeKept);
        }
    }

    private void rejoin() {
        System.err.println("back to work");
        servers.forEach(s -> s.closing(false));
    }

    /** On SIGTERM: answers all that comes, settles what is out, and ends with 0. One that has passed its work on ends as it was about
     *  to, in the same time; one that is about to pass it on waits for what comes of that. */
    private void drain() {
        long start = io.clock.now();
        CountDownLatch ended = new CountDownLatch(1);
        io.run(() -> drain(start, ended));
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    private void drain(long start, CountDownLatch ended) {
        switch (succession.state()) {
            case GONE -> endsBy = Math.min(endsBy, start + END_NS);
            case GIVEN -> io.at(io.clock.now() + LOOK_NS, () -> drain(start, ended));
            case OWNER -> {
                neighbours.leave();
                life.beginEnd();
                servers.forEach(s -> s.closing(true));
                relay.shutDownBy(start + END_NS);
                System.err.println("draining");
                io.at(
                        start + COMING_NS,
                        () -> io.afterReading(
                                () -> { // who has come is taken: a closed socket resets them
                                    servers.forEach(HttpServer::stopAccepting);
                                    settle(start + END_NS, ended);
                                }));
            }
        }
    }

    private void settle(long end, CountDownLatch ended) {
        boolean settled = relay.requestsInFlight() == 0 && front.owed() == 0;
        if (unanswered() == 0 && (settled || relay.attemptsInFlight() == 0 && io.clock.now() > end - COMING_NS)
                || io.clock.now() > end) {
            part(Math.min(io.clock.now() + PARTING_NS, end + PARTED_NS), ended);
            return;
        }
        servers.forEach(HttpServer::closeIdle);
        io.at(io.clock.now() + LOOK_NS, () -> settle(end, ended));
    }

    /** Clients are parted from: a process that ends over unread bytes resets its connections, and answers on their way with them.
     *  What is read meanwhile is answered yet. */
    private void part(long by, CountDownLatch ended) {
        servers.forEach(HttpServer::endConnections);
        if (servers.stream().allMatch(s -> s.open() == 0) || io.clock.now() > by) {
            ended.countDown();
            return;
        }
        io.at(io.clock.now() + LOOK_NS, () -> part(by, ended));
    }

    private int unanswered() {
        return servers.get(0).unanswered(); // clients of events ask again, with the same identity
    }
}
