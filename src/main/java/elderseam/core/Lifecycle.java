package elderseam.core;

/**
 * Where a process stands between its start and its end; decisions without I/O, one order of states for LAMEDUCK, REJOIN and
 * SIGTERM. Owned by one thread.
 */
public final class Lifecycle {
    /** STARTING until what an earlier process left is taken back; DRAINED once no client is connected; ENDING is for good. */
    public enum State {
        STARTING("starting"),
        READY("ready"),
        DRAINING("draining"),
        DRAINED("drained"),
        ENDING("ending");

        private final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }

        /** The word that operators are answered on the control address. */
        public String wireName() {
            return wireName;
        }
    }

    private boolean started, drains, empty, ending;

    public State state() {
        return ending
                ? State.ENDING
                : drains ? empty ? State.DRAINED : State.DRAINING : started ? State.READY : State.STARTING;
    }

    /** What an earlier process left is taken back. */
    public void started() {
        started = true;
    }

    /** Whether new clients are to come. */
    public boolean ready() {
        return state() == State.READY;
    }

    /** Whether a drain by hand lasts. */
    public boolean drains() {
        return drains;
    }

    /** Whether each answer is the last on its connection. */
    public boolean closing() {
        return ending || drains;
    }

    /** A drain by hand begins; false where one lasts, or the process ends: nothing is to be done. */
    public boolean drain() {
        boolean begins = !drains && !ending;
        drains |= begins;
        empty &= !begins;
        return begins;
    }

    /** No client is connected any more; one that comes takes that back. */
    public void clients(boolean none) {
        empty = none;
    }

    /** Back to work; false where the process ends, which nothing takes back. */
    public boolean rejoin() {
        drains = false;
        return !ending;
    }

    /** SIGTERM, or another process has taken over; false where that was so already. */
    public boolean end() {
        boolean begins = !ending;
        ending = true;
        return begins;
    }
}
