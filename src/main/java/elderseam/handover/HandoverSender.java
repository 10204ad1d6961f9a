package elderseam.handover;

/**
 * The older process's part of a hand-over, as decisions without I/O: each event gives the step that follows, whatever the order
 * in which events come. One thread owns it.
 */
public final class HandoverSender {
    /** OWNER until asked; GIVEN while the newer process takes over and may yet fail; GONE once it has. */
    public enum State {
        OWNER,
        GIVEN,
        GONE
    }

    /** GIVE: stop, let the folder go and tell all. RESUME: own it again. LEAVE: the other one has it; settle and end.
     *  FAIL: nobody serves any more; end, so that the platform starts one. */
    public enum Step {
        NONE,
        GIVE,
        RESUME,
        LEAVE,
        FAIL
    }

    private State state = State.OWNER;

    public State state() {
        return state;
    }

    /** The newer process is warm and asks. */
    public Step asked() {
        if (state != State.OWNER) {
            return Step.NONE;
        }
        state = State.GIVEN;
        return Step.GIVE;
    }

    /** It says that it owns the folder. */
    public Step owned() {
        if (state != State.GIVEN) {
            return Step.NONE;
        }
        state = State.GONE;
        return Step.LEAVE;
    }

    /** The link has ended, by the death of the newer process or by its own doing. */
    public Step lost() {
        Step step = state == State.GIVEN ? Step.RESUME : state == State.GONE ? Step.FAIL : Step.NONE;
        state = state == State.GIVEN ? State.OWNER : state;
        return step;
    }
}
