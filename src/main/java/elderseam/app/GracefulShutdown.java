package elderseam.app;

import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.core.Lifecycle;
import elderseam.core.RequestDispatcher;
import elderseam.frontend.platform.PlatformFrontend;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * What follows SIGTERM: new requests are answered for a moment yet, what is in flight settles, clients are
 * disconnected, and the process exits with 0 before the platform's SIGKILL. A process that has transferred its work
 * exits as it was about to; one that is about to transfer it waits for what comes of that. Confined to the I/O thread
 * but for {@link #await}.
 */
final class GracefulShutdown {
    private static final EventLogger LOG = EventLogger.of(GracefulShutdown.class);

    /** Clients may still connect for so long after SIGTERM. */
    static final long ACCEPT_GRACE_NS = 500 * Clock.MILLISECOND_NS;

    /** Requests settle within this; SIGKILL follows from 3.7 s after SIGTERM on. */
    private static final long SETTLE_LIMIT_NS = 3_300 * Clock.MILLISECOND_NS;

    /**
     * So long clients have to end their side of a connection, and so long beyond {@link #SETTLE_LIMIT_NS} at the most.
     */
    private static final long DISCONNECT_GRACE_NS = 500 * Clock.MILLISECOND_NS;

    private static final long DISCONNECT_OVERRUN_NS = 200 * Clock.MILLISECOND_NS;

    /** The process exits by then, whatever became of the steps. */
    private static final long EXIT_LIMIT_NS = 10_000 * Clock.MILLISECOND_NS;

    /** How often it looks whether a step is done. */
    static final long POLL_INTERVAL_NS = 20 * Clock.MILLISECOND_NS;

    private final IoLoop io;
    private final RequestDispatcher dispatcher;
    private final PlatformFrontend frontend;
    private final Lifecycle lifecycle;
    private final ListenerGroup listeners;
    private final EventIntake events;
    private final FleetServices fleet;
    private final OwnershipTransfer transfer;
    private final TransferableDispatcher transferable;
    private final long startedNs;
    private final long settleDeadlineNs;
    private final CountDownLatch done = new CountDownLatch(1);

    /** The time until the exit counts from here. */
    GracefulShutdown(
            IoLoop io,
            RequestDispatcher dispatcher,
            PlatformFrontend frontend,
            Lifecycle lifecycle,
            ListenerGroup listeners,
            EventIntake events,
            FleetServices fleet,
            OwnershipTransfer transfer,
            TransferableDispatcher transferable) {
        this.io = io;
        this.dispatcher = dispatcher;
        this.frontend = frontend;
        this.lifecycle = lifecycle;
        this.listeners = listeners;
        this.events = events;
        this.fleet = fleet;
        this.transfer = transfer;
        this.transferable = transferable;
        this.startedNs = io.clock.now();
        this.settleDeadlineNs = startedNs + SETTLE_LIMIT_NS;
    }

    /** Shuts down, and returns once the process may exit. Blocks: for the shutdown hook's thread. */
    void await() {
        io.run(this::begin);
        try {
            if (!done.await(EXIT_LIMIT_NS, TimeUnit.NANOSECONDS)) {
                LOG.error("shutdown.limit_reached", field("limit_ms", EXIT_LIMIT_NS / Clock.MILLISECOND_NS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void begin() {
        switch (transfer.state()) {
            case TRANSFERRED -> transferable.exitBy(settleDeadlineNs);
            case TRANSFERRING -> io.at(io.clock.now() + POLL_INTERVAL_NS, this::begin);
            case OWNER -> drain();
        }
    }

    private void drain() {
        fleet.leave();
        lifecycle.beginShutdown();
        listeners.closeAfterAnswer(true);
        dispatcher.shutDownBy(settleDeadlineNs);
        LOG.info("shutdown.started");
        io.at(startedNs + ACCEPT_GRACE_NS, () -> io.afterReading(this::stopAccepting));
    }

    /** After all that has arrived is read: closing a listener resets the connections that it has not accepted yet. */
    private void stopAccepting() {
        listeners.stopAccepting();
        settle();
    }

    private void settle() {
        long now = io.clock.now();
        if (isSettled(now) || now > settleDeadlineNs) {
            events.close();
            disconnect(Math.min(now + DISCONNECT_GRACE_NS, settleDeadlineNs + DISCONNECT_OVERRUN_NS));
            return;
        }
        listeners.closeIdleConnections();
        io.at(now + POLL_INTERVAL_NS, this::settle);
    }

    /** Whether nothing is owed any more; late in the drain it is enough that no attempt is in flight. */
    private boolean isSettled(long now) {
        if (listeners.unansweredPlatformRequests() > 0) {
            return false;
        }
        boolean nothingHeld = dispatcher.requestsInFlight() == 0 && frontend.unacknowledgedNotifications() == 0;
        boolean late = now > settleDeadlineNs - ACCEPT_GRACE_NS;
        return nothingHeld || (late && dispatcher.attemptsInFlight() == 0);
    }

    /**
     * Ends connections in order: a process that exits over unread bytes resets them, and answers that are on their way
     * with them. A request that is read meanwhile is still answered.
     */
    private void disconnect(long deadlineNs) {
        listeners.closeFinishedConnections();
        if (listeners.hasNoConnections() || io.clock.now() > deadlineNs) {
            done.countDown();
            return;
        }
        io.at(io.clock.now() + POLL_INTERVAL_NS, () -> disconnect(deadlineNs));
    }
}
