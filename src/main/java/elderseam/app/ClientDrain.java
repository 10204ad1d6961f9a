package elderseam.app;

import elderseam.core.Clock;
import elderseam.core.Lifecycle;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;

/**
 * An operator's drain (LAMEDUCK) as clients see it: requests are answered as before, and each connection is closed
 * after its answer or once it has stood idle. Nothing that is held ends by it. Confined to the I/O thread.
 */
final class ClientDrain {
    private static final EventLogger LOG = EventLogger.of(ClientDrain.class);

    /** Idle connections are closed from so long after the drain began on, and after a stall since then. */
    private static final long IDLE_GRACE_NS = 700 * Clock.MILLISECOND_NS;

    /** Idle connections are closed from so long after the drain began on, whatever stalls there were. */
    private static final long MAX_IDLE_GRACE_NS = 2_500 * Clock.MILLISECOND_NS;

    private static final long IDLE_CHECK_INTERVAL_NS = 50 * Clock.MILLISECOND_NS;

    private final IoLoop io;
    private final Lifecycle lifecycle;
    private final ListenerGroup listeners;
    private boolean closingIdleConnections;
    private long beganAt;

    ClientDrain(IoLoop io, Lifecycle lifecycle, ListenerGroup listeners) {
        this.io = io;
        this.lifecycle = lifecycle;
        this.listeners = listeners;
    }

    /** The drain has begun. */
    void begin() {
        LOG.info("drain.started");
        listeners.closeAfterAnswer(true);
        if (!closingIdleConnections) {
            closingIdleConnections = true;
            beganAt = io.clock.now();
            io.at(beganAt + IDLE_GRACE_NS, this::closeIdleConnections);
        }
    }

    private void closeIdleConnections() {
        closingIdleConnections = lifecycle.closesConnections();
        if (closingIdleConnections) {
            if (io.clock.now() >= graceEnd()) {
                listeners.closeIdleConnections();
            }
            lifecycle.setAllClientsDisconnected(listeners.hasNoConnections());
            io.at(io.clock.now() + IDLE_CHECK_INTERVAL_NS, this::closeIdleConnections);
        }
    }

    /** A client that could not be answered during a stall has yet to learn of the drain from an answer. */
    private long graceEnd() {
        long end = Math.max(beganAt, io.lastStallEnd()) + IDLE_GRACE_NS;
        return Math.min(end, beganAt + MAX_IDLE_GRACE_NS);
    }

    /** The drain was taken back (REJOIN): connections are kept open again. */
    void cancel() {
        LOG.info("drain.cancelled");
        listeners.closeAfterAnswer(false);
    }
}
