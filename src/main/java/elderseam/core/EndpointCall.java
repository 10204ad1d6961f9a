package elderseam.core;

/** One attempt under way. */
public interface EndpointCall {
    /** Stops waiting; an answer that has arrived counts. The attempt's end is told before this returns, if still owed. */
    void abandon();

    /** How far an attempt had come. Only after the last byte was written can the upstream host have run it. */
    enum Progress {
        NOT_CONNECTED,
        PARTLY_WRITTEN,
        WRITTEN,
        ANSWERED
    }

    /** What an answer says, or why there is none; HELD: it was not to leave any more. */
    enum Status {
        DELIVERED,
        ERROR,
        FULL,
        NO_SLOT,
        SPENT,
        OVER,
        BROKEN,
        TIMED_OUT,
        ABANDONED,
        HELD
    }

    /** How an attempt ended; with FULL, {@code waitNs} is the wait it was told or 0. {@code shareLeft} and
     *  {@code limitPerS} are what the answer told of a limit, or 0. */
    record End(Progress progress, Status status, long waitNs, double shareLeft, double limitPerS) {
        public static End unanswered(Progress progress, Status why) {
            return new End(progress, why, 0, 0, 0);
        }

        /** Whether the upstream host may have acted on it, or may yet. */
        public boolean mayHaveRun() {
            return switch (progress) {
                case NOT_CONNECTED, PARTLY_WRITTEN -> false;
                case WRITTEN -> true;
                case ANSWERED -> status == Status.DELIVERED || status == Status.ERROR;
            };
        }
    }
}
