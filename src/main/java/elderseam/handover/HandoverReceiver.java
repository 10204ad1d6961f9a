package elderseam.handover;

/**
 * The newer process's part of a handover, as a state machine without I/O: it begins by searching for an older process
 * and ends as the owner. {@link HandoverSender} is the counterpart. Not thread-safe: confined to one thread.
 */
public final class HandoverReceiver {
    /** Where the newer process stands. */
    public enum State {
        /** It searches for an older process, or for a free lock. */
        SEARCHING,
        /** It is connected to an older process and warms up beside it. */
        WARMING_UP,
        /** It has asked for the state. */
        REQUESTED,
        /** It owns the work. */
        OWNER
    }

    /** What the newer process does next. */
    public enum Action {
        NONE,
        /** There is no older process: recover from the journal, as after a crash. */
        RECOVER,
        /** Warm up beside the older process. */
        WARM_UP,
        /** Ask the older process for its state. */
        REQUEST,
        /** Go on with the state that the older process sent. */
        TAKE_OVER,
        /** Search again after a moment. */
        RETRY,
        /** The older process is gone: settle the attempts that it had in flight, whose outcome is not known. */
        SETTLE
    }

    private State state = State.SEARCHING;

    /** The current state. */
    public State state() {
        return state;
    }

    /**
     * It has searched once.
     *
     * @param connected whether an older process answers on a channel
     * @param locked whether, with none, the ownership lock was free and is now held
     */
    public Action onSearched(boolean connected, boolean locked) {
        if (state != State.SEARCHING) {
            return Action.NONE;
        }
        if (connected) {
            state = State.WARMING_UP;
            return Action.WARM_UP;
        }
        if (locked) {
            state = State.OWNER;
            return Action.RECOVER;
        }
        return Action.RETRY;
    }

    /** It is warmed up. */
    public Action onWarmedUp() {
        if (state != State.WARMING_UP) {
            return Action.NONE;
        }
        state = State.REQUESTED;
        return Action.REQUEST;
    }

    /**
     * The older process sent its whole state.
     *
     * @param locked whether the ownership lock is held now
     */
    public Action onStateReceived(boolean locked) {
        if (state != State.REQUESTED) {
            return Action.NONE;
        }
        state = locked ? State.OWNER : State.SEARCHING;
        return locked ? Action.TAKE_OVER : Action.RETRY;
    }

    /** The channel has ended. */
    public Action onChannelClosed() {
        return switch (state) {
            case SEARCHING -> Action.NONE;
            case WARMING_UP, REQUESTED -> {
                state = State.SEARCHING;
                yield Action.RETRY;
            }
            case OWNER -> Action.SETTLE;
        };
    }
}
