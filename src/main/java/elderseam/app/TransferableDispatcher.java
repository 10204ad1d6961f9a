package elderseam.app;

import static elderseam.logging.LogField.error;
import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.core.Handover;
import elderseam.core.Lifecycle;
import elderseam.core.RequestDispatcher;
import elderseam.frontend.platform.DiscoveryWatcher;
import elderseam.frontend.platform.PlatformFrontend;
import elderseam.frontend.platform.SuccessorProxy;
import elderseam.handover.HandoverFrame;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The running dispatcher as an upgrade sees it: suspended while a newer process takes over, then either resumed or
 * retired. Client requests go through here, to the frontend or to the successor. Confined to the I/O thread.
 */
final class TransferableDispatcher implements OwnershipTransfer.Service {
    private static final EventLogger LOG = EventLogger.of(TransferableDispatcher.class);

    /** So long clients of a process that has transferred its work may stay connected. */
    private static final long RETIRE_LIMIT_NS = 10_000 * Clock.MILLISECOND_NS;

    private final IoLoop io;
    private final RequestDispatcher dispatcher;
    private final PlatformFrontend frontend;
    private final DiscoveryWatcher discovery;
    private final EndpointConnectionPool endpointConnections;
    private final Lifecycle lifecycle;
    private final ListenerGroup listeners;
    private final FleetServices fleet;
    private final EventIntake events;
    private final ConfigurationReloads reloads;
    private SuccessorProxy successor; // null while this process serves
    private BooleanSupplier resultsSent;
    private long exitDeadlineNs;

    TransferableDispatcher(
            IoLoop io,
            RequestDispatcher dispatcher,
            PlatformFrontend frontend,
            DiscoveryWatcher discovery,
            EndpointConnectionPool endpointConnections,
            Lifecycle lifecycle,
            ListenerGroup listeners,
            FleetServices fleet,
            EventIntake events,
            ConfigurationReloads reloads) {
        this.io = io;
        this.dispatcher = dispatcher;
        this.frontend = frontend;
        this.discovery = discovery;
        this.endpointConnections = endpointConnections;
        this.lifecycle = lifecycle;
        this.listeners = listeners;
        this.fleet = fleet;
        this.events = events;
        this.reloads = reloads;
    }

    /** A client's request: served here, or forwarded once another process has the work. */
    void handle(HttpServer.Request request, HttpServer.Answerer answerer) {
        if (successor == null) {
            frontend.handle(request, answerer);
        } else {
            successor.handle(request, answerer);
        }
    }

    @Override
    public HandoverFrame.StateTransfer suspend(Consumer<Handover.ForwardedOutcome> onAttemptEnded) {
        listeners.stopAccepting();
        successor = new SuccessorProxy(io, listeners.platformAddress());
        events.suspend();
        discovery.suspend();
        frontend.suspendNotifications();
        endpointConnections.closeIdle();
        fleet.leave();
        return new HandoverFrame.StateTransfer(
                discovery.encodedList(),
                dispatcher.handover().transferTo(onAttemptEnded),
                lifecycle.isDraining(),
                reloads.current());
    }

    @Override
    public void resume(List<Handover.ForwardedOutcome> endedAttempts) {
        try {
            listeners.resumeAccepting();
            fleet.join();
        } catch (IOException e) { // the address is another process's: this one can't serve any more
            LOG.error("handover.resume_failed", error(e));
            Runtime.getRuntime().halt(1);
        }
        SuccessorProxy suspended = successor;
        successor = null;
        dispatcher.handover().rollBack(endedAttempts);
        reloads.resumed();
        frontend.resumeNotifications();
        discovery.resume();
        suspended.handleQueuedLocally(frontend::handle);
        events.resume();
    }

    @Override
    public void retire(BooleanSupplier allResultsSent) {
        resultsSent = allResultsSent;
        lifecycle.beginShutdown();
        listeners.closeAfterAnswer(true);
        events.close();
        successor.startForwarding();
        exitDeadlineNs = io.clock.now() + RETIRE_LIMIT_NS;
        io.at(io.clock.now() + GracefulShutdown.ACCEPT_GRACE_NS, this::exitOnceDone);
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        dispatcher.handover().cancelAttempt(requestId, attempt);
    }

    /** A retired process exits by then at the latest. */
    void exitBy(long deadlineNs) {
        exitDeadlineNs = Math.min(exitDeadlineNs, deadlineNs);
    }

    /** Exits once the newer process has the result of every attempt in flight and no client is connected. */
    private void exitOnceDone() {
        listeners.closeIdleConnections();
        boolean quiet = dispatcher.attemptsInFlight() == 0 && successor.isIdle() && listeners.hasNoConnections();
        boolean overdue = io.clock.now() > exitDeadlineNs;
        if (overdue || (quiet && resultsSent.getAsBoolean())) {
            LOG.info("handover.completed", field("attempts_in_flight", dispatcher.attemptsInFlight()));
            Runtime.getRuntime().halt(0);
        }
        io.at(io.clock.now() + GracefulShutdown.POLL_INTERVAL_NS, this::exitOnceDone);
    }
}
