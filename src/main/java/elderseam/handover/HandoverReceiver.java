package elderseam.handover;

/** The newer process's part, likewise. It begins by looking for an older one, and ends as the owner. */
public final class HandoverReceiver {
    public enum State {
        SEEKING,
        WARMING,
        ASKED,
        OWNER
    }

    /** RECOVER: nobody else is there, begin as after any end of a process. WARM: get ready beside the older one. ASK it. TAKE: begin
     *  with what it told. LOOK_AGAIN: after a moment. SETTLE: the calls that it had out have ended unheard. */
    public enum Step {
        NONE,
        RECOVER,
        WARM,
        ASK,
        TAKE,
        LOOK_AGAIN,
        SETTLE
    }

    private State state = State.SEEKING;

    public State state() {
        return state;
    }

    /** One look: whether an older process answers on the link, and else whether the folder's lock was free, and is now held. */
    public Step looked(boolean linked, boolean locked) {
        if (state != State.SEEKING) {
            return Step.NONE;
        }
        state = linked ? State.WARMING : locked ? State.OWNER : State.SEEKING;
        return linked ? Step.WARM : locked ? Step.RECOVER : Step.LOOK_AGAIN;
    }

    /** All code that the first second needs has run. */
    public Step warm() {
        if (state != State.WARMING) {
            return Step.NONE;
        }
        state = State.ASKED;
        return Step.ASK;
    }

    /** The older process told all, whole; {@code locked}: and the folder's lock is held. */
    public Step given(boolean locked) {
        if (state != State.ASKED) {
            return Step.NONE;
        }
        state = locked ? State.OWNER : State.SEEKING;
        return locked ? Step.TAKE : Step.LOOK_AGAIN;
    }

    /** The link has ended. */
    public Step lost() {
        if (state == State.OWNER) {
            return Step.SETTLE;
        }
        boolean looks = state != State.SEEKING;
        state = State.SEEKING;
        return looks ? Step.LOOK_AGAIN : Step.NONE;
    }
}
