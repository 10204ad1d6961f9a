package elderseam.core;

/**
 * The state of a process between its start and its end, as changed by the commands LAMEDUCK and REJOIN and by SIGTERM;
 * does no I/O. Confined to the event-loop thread.
 */
public final class Lifecycle {
    /** The states, in their usual order. */
    public enum State {
        /** The unfinished work of an earlier process is being recovered. */
        STARTING("starting"),
        READY("ready"),
        DRAINING("draining"),
        /** Draining, and all clients have disconnected. */
        DRAINED("drained"),
        /** Shutting down; no other state follows. */
        SHUTTING_DOWN("ending");

        private final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }

        /** The name of the state in responses on the control address. */
        public String wireName() {
            return wireName;
        }
    }

    private boolean started;
    private boolean draining;
    private boolean allClientsDisconnected;
    private boolean shuttingDown;

    /** The current state. */
    public State state() {
        if (shuttingDown) {
            return State.SHUTTING_DOWN;
        }
        if (draining) {
            return allClientsDisconnected ? State.DRAINED : State.DRAINING;
        }
        return started ? State.READY : State.STARTING;
    }

    /** Records that recovery from an earlier process is complete. */
    public void markStarted() {
        started = true;
    }

    /** Whether the process reports itself ready for new clients. */
    public boolean isReady() {
        return state() == State.READY;
    }

    /** Whether an operator's drain is in effect. */
    public boolean isDraining() {
        return draining;
    }

    /** Whether each connection is closed after its current response. */
    public boolean closesConnections() {
        return shuttingDown || draining;
    }

    /**
     * Begins an operator's drain. Returns false, and changes nothing, if a drain is in effect or the process is
     * shutting down.
     */
    public boolean beginDrain() {
        if (draining || shuttingDown) {
            return false;
        }
        draining = true;
        allClientsDisconnected = false;
        return true;
    }

    /** Sets whether all clients have disconnected; to be set to false again when a client connects. */
    public void setAllClientsDisconnected(boolean disconnected) {
        allClientsDisconnected = disconnected;
    }

    /** Ends an operator's drain. Returns false if the process is shutting down, which cannot be reverted. */
    public boolean rejoin() {
        draining = false;
        return !shuttingDown;
    }

    /** Begins the shutdown, after SIGTERM or a handover. Returns false if it had already begun. */
    public boolean beginShutdown() {
        boolean begins = !shuttingDown;
        shuttingDown = true;
        return begins;
    }
}
