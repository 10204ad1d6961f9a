package elderseam.handover;

/**
 * The older process's part of a handover, as a state machine without I/O: each event returns the action that follows,
 * in whatever order events come. {@link HandoverReceiver} is the counterpart. Not thread-safe: confined to one thread.
 */
public final class HandoverSender {
    /** Where the older process stands. */
    public enum State {
        /** It owns the work. */
        OWNER,
        /** It has sent its state and released the lock; the newer process may still fail. */
        TRANSFERRING,
        /** The newer process owns the work, for good. */
        TRANSFERRED
    }

    /** What the older process does next. */
    public enum Action {
        NONE,
        /** Stop serving, release the lock and send the state. */
        TRANSFER,
        /** The newer process failed: acquire the lock again and go on serving. */
        RESUME,
        /** The newer process owns the work: settle what is in flight and exit. */
        RETIRE,
        /** The new owner is gone and nobody serves: exit with an error, so that the platform starts a process. */
        FAIL
    }

    private State state = State.OWNER;

    /** The current state. */
    public State state() {
        return state;
    }

    /** The newer process asked for the state. */
    public Action onTransferRequested() {
        if (state != State.OWNER) {
            return Action.NONE;
        }
        state = State.TRANSFERRING;
        return Action.TRANSFER;
    }

    /** The newer process confirmed that it owns the work. */
    public Action onOwnershipConfirmed() {
        if (state != State.TRANSFERRING) {
            return Action.NONE;
        }
        state = State.TRANSFERRED;
        return Action.RETIRE;
    }

    /** The channel has ended, be it that the newer process died or closed it. */
    public Action onChannelClosed() {
        return switch (state) {
            case OWNER -> Action.NONE;
            case TRANSFERRING -> {
                state = State.OWNER;
                yield Action.RESUME;
            }
            case TRANSFERRED -> Action.FAIL;
        };
    }
}
