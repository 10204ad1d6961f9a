package elderseam.app;

import static elderseam.logging.LogField.field;

import elderseam.control.CommandResult;
import elderseam.control.ControlServer;
import elderseam.control.OperatorCommand;
import elderseam.control.OperatorCommands;
import elderseam.core.Clock;
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
import elderseam.handover.HandoverChannel;
import elderseam.handover.HandoverFrame;
import elderseam.handover.HandoverSender;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.FatalErrors;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.http.XnioStartup;
import elderseam.logging.EventLogger;
import elderseam.settings.SettingKeys;
import elderseam.settings.Settings;
import elderseam.settings.SettingsFault;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/**
 * One dispatcher process: builds the parts, recovers or takes over the work of the process before it, and serves until
 * it is told to end. {@link #serve} runs on the starting thread; everything after it is confined to the I/O thread.
 */
public final class DispatcherServer {
    private static final EventLogger LOG = EventLogger.of(DispatcherServer.class);

    /** The longest endpoint list, and the longest answer of the platform, in bytes. */
    private static final int MAX_PLATFORM_ANSWER_BYTES = 1 << 20;

    private static final String LISTEN_FD_VARIABLE = "RELAY_LISTEN_FD";

    /**
     * What a start has found and opened before the I/O thread takes over; {@code inherited} and {@code control} may be
     * null.
     */
    private record Startup(
            PlatformConfiguration config,
            OperatorSettings.Loaded operator,
            Path settingsFile,
            ServerSocketChannel inherited,
            ControlServer control,
            OwnershipAcquisition.Ownership ownership,
            FileStamps files,
            long startedNs) {}

    private final Startup startup;
    private final PlatformConfiguration config;
    private final Settings settings;
    private final IoLoop io;
    private final RequestDispatcher dispatcher;
    private final PlatformFrontend frontend;
    private final DiscoveryWatcher discovery;
    private final EndpointConnectionPool endpointConnections;
    private final LiveConfiguration liveConfiguration;
    private final ConfigurationReloads reloads;
    private final FleetServices fleet;
    private final Lifecycle lifecycle = new Lifecycle();
    private final ListenerGroup listeners = new ListenerGroup();
    private final EventIntake events;
    private final ClientDrain clientDrain;
    private final TransferableDispatcher transferable;
    private final OwnershipTransfer transfer;

    /**
     * Starts a dispatcher, and returns once its threads run. A start that fails later, on the I/O thread, ends the
     * process with 1.
     *
     * @param variables the RELAY variables of the environment
     * @param settingsFile the operator's settings
     * @throws SettingsFault if the settings can't be used
     * @throws IOException if a file, an address or the state directory can't be used
     * @throws IllegalArgumentException if a variable is missing or malformed
     */
    public static void serve(Map<String, String> variables, Path settingsFile) throws IOException {
        long calledNs = System.nanoTime();
        XnioStartup.configure();
        FatalErrors.install();
        FileStamps files = ConfigurationReloads.stamps(variables, settingsFile);
        OperatorSettings.Loaded operator = OperatorSettings.load(settingsFile);
        Clock clock = clock(operator.settings());
        long startedNs = clock.now() - (System.nanoTime() - calledNs);
        PlatformConfiguration config = PlatformConfiguration.read(variables);
        ServerSocketChannel inherited = inheritedSocket(variables);
        IoLoop io = new IoLoop(clock);
        ControlServer control = config.controlAddress() == null ? null : new ControlServer(io, config.controlAddress());
        OwnershipAcquisition.Ownership ownership = OwnershipAcquisition.acquire(io, config);
        long diskBytes = config.limits().diskBytes();
        Journal journal =
                new Journal(config.stateDirectory(), diskBytes - PolicySnapshots.reservedBytes(diskBytes), clock);
        Startup startup = new Startup(config, operator, settingsFile, inherited, control, ownership, files, startedNs);
        io.run(() -> start(startup, journal, io, variables));
    }

    private static void start(Startup startup, Journal journal, IoLoop io, Map<String, String> variables) {
        try {
            new DispatcherServer(startup, journal, io, variables).begin();
        } catch (SettingsFault e) {
            e.faults().forEach(System.err::println);
            Runtime.getRuntime().halt(1);
        } catch (IOException | RuntimeException e) { // whatever it is, a dispatcher that has half begun must not stay
            LOG.error("server.start_failed", e);
            Runtime.getRuntime().halt(1);
        }
    }

    /** The system's clock, or one that a fault test makes run fast, slow or ahead. */
    private static Clock clock(Settings settings) {
        long ratePercent = settings.get(SettingKeys.REHEARSAL_CLOCK_PERCENT);
        long aheadMs = settings.get(SettingKeys.REHEARSAL_CLOCK_AHEAD_MS);
        return ratePercent == 100 && aheadMs == 0 ? new Clock() : SkewedClock.of(ratePercent / 100.0, aheadMs);
    }

    /** The listening socket that the platform holds and gives to every process of the dispatcher, or null. */
    private static ServerSocketChannel inheritedSocket(Map<String, String> variables) throws IOException {
        String descriptor = variables.getOrDefault(LISTEN_FD_VARIABLE, "");
        if (descriptor.isEmpty()) {
            return null;
        }
        if (!descriptor.equals("0") || !(System.inheritedChannel() instanceof ServerSocketChannel socket)) {
            throw new IOException(
                    LISTEN_FD_VARIABLE + "=" + descriptor + ": only 0, a listening TCP socket, can be taken over");
        }
        return socket;
    }

    private DispatcherServer(Startup startup, Journal journal, IoLoop io, Map<String, String> variables)
            throws IOException {
        this.startup = startup;
        this.config = startup.config();
        this.settings = startup.operator().settings();
        this.io = io;
        var policySettings = config.settings().toPolicySettings();
        ResourceLimits limits = config.limits();
        long idleNs = policySettings.connections().idleNs() * 4 / 5; // before the other side closes it
        EndpointList endpoints = new EndpointList(config.settings());
        endpointConnections = new EndpointConnectionPool(
                io, idleNs, limits.endpointConnections(), PlatformFrontend.MAX_BODY_BYTES, limits.unsettledBytes());
        EndpointConnectionPool platform =
                new EndpointConnectionPool(io, idleNs, ResourceLimits.PLATFORM_CONNECTIONS, MAX_PLATFORM_ANSWER_BYTES);
        dispatcher = new RequestDispatcher(policySettings, config.seed(), journal, io.clock, io);
        dispatcher.limitHeldBytes(limits.heldBytes());
        dispatcher.setZones(config.settings().list("localities"));
        reportToDispatcher(platform);
        liveConfiguration = readLiveConfiguration(journal, variables);
        EndpointAddress discoveryAddress = liveConfiguration.discoveryAddress(settings);
        frontend = new PlatformFrontend(
                io, platform, discoveryAddress, dispatcher, config.settings(), liveConfiguration.rules(), lifecycle);
        dispatcher.registerFrontend(PlatformFrontend.NUMBER, frontend, attemptSender(endpoints));
        discovery = new DiscoveryWatcher(io, platform, discoveryAddress, endpoints, dispatcher);
        dispatcher.onWatchRequested(discovery::watch);
        LeasedCertificateOrder certificateOrder = certificateOrder();
        CloudEventsSetup cloudEvents = openListeners(journal, endpoints, certificateOrder);
        events = cloudEvents == null ? EventIntake.NONE : cloudEvents;
        liveConfiguration.attach(frontend, cloudEvents, discovery);
        fleet = new FleetServices(
                io, config, settings, dispatcher, discovery, endpoints, certificateOrder, liveConfiguration);
        liveConfiguration.attach(fleet);
        reloads = new ConfigurationReloads(io, liveConfiguration, this::transferState, startup.files(), settings);
        clientDrain = new ClientDrain(io, lifecycle, listeners);
        transferable = transferableDispatcher();
        transfer = new OwnershipTransfer(io, startup.ownership().lock(), transferable);
    }

    private LiveConfiguration readLiveConfiguration(Journal journal, Map<String, String> variables) throws IOException {
        return new LiveConfiguration(
                new LiveConfiguration.RuleTargets(io, dispatcher, journal),
                config,
                settings,
                startup.settingsFile(),
                variables,
                startup.startedNs());
    }

    /** Where one member orders the certificate for all; else null. */
    private LeasedCertificateOrder certificateOrder() throws IOException {
        return settings.get(SettingKeys.FLEET_CERTIFICATES).equals("one") ? new LeasedCertificateOrder(settings) : null;
    }

    private TransferableDispatcher transferableDispatcher() {
        return new TransferableDispatcher(
                io, dispatcher, frontend, discovery, endpointConnections, lifecycle, listeners, fleet, events, reloads);
    }

    private HandoverSender.State transferState() {
        return transfer.state();
    }

    private PlatformAttemptSender attemptSender(EndpointList endpoints) {
        return new PlatformAttemptSender(
                io, endpointConnections, endpoints, config.settings(), dispatcher.endpointResponses());
    }

    /** Lets the dispatcher know of stalls, and of responses that are not as they should be. */
    private void reportToDispatcher(EndpointConnectionPool platform) {
        io.onStall(dispatcher::eventLoopStalled);
        endpointConnections.setAnomalyListener(dispatcher.endpointResponses());
        platform.setAnomalyListener(dispatcher.endpointResponses());
    }

    /**
     * Opens the platform's listener, and the CloudEvents frontend where it is on or owes anything; else null, and none
     * of it is loaded.
     */
    private CloudEventsSetup openListeners(
            Journal journal, EndpointList endpoints, LeasedCertificateOrder certificateOrder) throws IOException {
        EventConfiguration events = startup.operator().cloudEvents();
        if (events.listenAddress().isEmpty() && !journal.hasWorkFor(EventFrontend.NUMBER)) {
            listeners.add(platformListener(0));
            return null;
        }
        CloudEventsSetup cloudEvents = new CloudEventsSetup(
                io,
                config,
                events,
                dispatcher,
                endpointConnections,
                endpoints,
                listeners,
                liveConfiguration.rules(),
                certificateOrder);
        listeners.add(platformListener(cloudEvents.maxConnections()));
        cloudEvents.openListeners();
        return cloudEvents;
    }

    private HttpServer platformListener(int reservedConnections) throws IOException {
        ResourceLimits limits = config.limits();
        return new HttpServer(
                io,
                config.listenAddress(),
                startup.inherited(),
                PlatformFrontend.MAX_BODY_BYTES,
                limits.clientConnections() - reservedConnections,
                limits.requestBytes(),
                null,
                this::handle);
    }

    private void handle(HttpServer.Request request, HttpServer.Answerer answerer) {
        transferable.handle(request, answerer);
    }

    /**
     * Outcomes that are known are notified, and the first attempts sent, before anything that waits at the port is
     * read.
     */
    private void begin() throws IOException {
        if (startup.ownership() instanceof OwnershipAcquisition.Takeover takeover) {
            reloads.catchUpWith(takeover.state().configuration());
            takeOver(takeover);
        } else {
            reloads.catchUp(); // an older process may have ended while this one waited for its folder
            recover();
        }
        LOG.info(
                "server.listening",
                field("address", listeners.platformAddress()),
                field("requests_recovered", dispatcher.requestsInFlight()));
        if (startup.control() != null) {
            serveOperators(startup.control());
        }
        reloads.install();
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "drain"));
    }

    /** Begins with what an earlier process left in the state directory; ready once it has warmed up. */
    private void recover() {
        if (persistsLearnedState()) {
            dispatcher.snapshots().restoreAndStartSaving();
        }
        discovery.applyCachedList(config.cachedEndpointList());
        String requestClass = config.settings().names("services").get(0);
        dispatcher.recover(
                frontend::unacknowledgedNotifications,
                () -> StartupWarmup.run(io, listeners.platformAddress(), requestClass, this::onReady));
    }

    /**
     * Begins with what an older process has sent, whose attempts are still in flight there; this one has warmed up
     * already.
     */
    private void takeOver(OwnershipAcquisition.Takeover takeover) throws IOException {
        HandoverChannel channel = takeover.channel();
        HandoverFrame.StateTransfer received = takeover.state();
        endpointConnections.setMaxConnections(
                config.limits().endpointConnections() / 2); // descriptors are counted for both processes
        dispatcher
                .handover()
                .takeOver(
                        received.state(),
                        attempt -> channel.send(
                                new HandoverFrame.AttemptCancellation(attempt.requestId(), attempt.attempt())));
        discovery.applyPredecessorList(JsonValue.read(received.endpointList().getBytes(StandardCharsets.UTF_8)));
        if (received.draining() && lifecycle.beginDrain()) {
            clientDrain.begin();
        }
        channel.send(new HandoverFrame.OwnershipConfirmed());
        channel.startReceiving(this::onHandoverFrame, () -> io.run(this::onPredecessorGone));
        dispatcher.recover(frontend::unacknowledgedNotifications, this::onReady);
        if (persistsLearnedState()) {
            dispatcher.snapshots().startSaving();
        }
    }

    private void onHandoverFrame(HandoverFrame frame) {
        if (frame instanceof HandoverFrame.AttemptCompletion completion) {
            io.run(() -> dispatcher.handover().outcomeForwarded(completion.attempt()));
        }
    }

    private void onPredecessorGone() {
        reloads.predecessorGone();
        endpointConnections.setMaxConnections(config.limits().endpointConnections());
        dispatcher.handover().predecessorExited();
    }

    /** Whether what the policy learns outlasts the process. */
    private boolean persistsLearnedState() {
        return settings.get(SettingKeys.STATE_LEARNED).equals("kept")
                && PolicySnapshots.reservedBytes(config.limits().diskBytes()) > 0;
    }

    private void onReady() {
        lifecycle.markStarted();
        reloads.ready();
        long readyAfterMs = (io.clock.now() - startup.startedNs()) / Clock.MILLISECOND_NS;
        LOG.info(
                "server.ready",
                field("after_ms", readyAfterMs),
                field("longest_stall_ms", io.longestStallNs() / Clock.MILLISECOND_NS));
        if (startup.control() != null) {
            transfer.listen(config.stateDirectory());
        }
    }

    private void serveOperators(ControlServer control) {
        OperatorCommands operators = new OperatorCommands(
                dispatcher,
                lifecycle,
                config.settings().names("services"),
                clientDrain::begin,
                clientDrain::cancel,
                fleet.hasLeases() ? fleet::answerFleet : null,
                fleet.hasVersions() ? fleet::answerConfig : null);
        control.handler(command -> answer(operators, command));
        LOG.info("control.listening", field("address", control.address()));
    }

    private CommandResult answer(OperatorCommands operators, OperatorCommand command) {
        if (transfer.state() == HandoverSender.State.TRANSFERRING && !(command instanceof OperatorCommand.Info)) {
            return CommandResult.rejected("this process passes its work on; ask the newer one, or again");
        }
        return operators.execute(command);
    }

    /** On SIGTERM, on the shutdown hook's thread: whatever the JVM was told, the process exits with 0. */
    private void shutDown() {
        new GracefulShutdown(io, dispatcher, frontend, lifecycle, listeners, events, fleet, transfer, transferable)
                .await();
        Runtime.getRuntime().halt(0);
    }
}
