package elderseam.testkit.ordering;

/** What happens to a rejection with a wait on its way from an endpoint to the dispatcher. */
public enum AnswerFault {
    /** Nothing. */
    NONE(false),
    /** Bytes without meaning come with it. */
    JUNK_BEHIND(true),
    /** Bytes without meaning come before it, in the same write. */
    JUNK_AHEAD(false),
    /** It comes twice in one write. */
    COPY_BEHIND(true),
    /** It comes again 8 ms later. */
    COPY_SOON(true),
    /** The copy of a success comes ahead of it, 8 ms after the call began. */
    SUCCESS_AHEAD(true),
    /** The call is answered by a success, and the rejection follows 20 ms later. */
    SUCCESS_THEN_REJECTION(false),
    /** Its body is cut by the end of the connection. */
    BODY_CUT_BY_END(false),
    /** Its body is cut by a reset. */
    BODY_CUT_BY_RESET(false),
    /** It ends with the line that tells the wait. */
    HEAD_CUT_BY_END(false),
    /** The last four bytes of its head come 1.2 s late; the line that tells the wait is the last one. */
    HEAD_END_LATE(false),
    /** The last four bytes of its head never come, and the connection is reset. */
    HEAD_END_MISSING(false),
    /** It comes in two parts, 30 ms apart. */
    TWO_PARTS(false),
    /** An interim response comes ahead of it. */
    CONTINUE_AHEAD(false),
    /** The connection ends behind it. */
    END_BEHIND(false),
    /** A header of 20 kB stands ahead of the line that tells the wait. */
    LONG_HEADER(false),
    /** A folded line stands ahead of the line that tells the wait. */
    FOLDED_LINE(false),
    /** The line that tells the wait is folded. */
    FOLDED_WAIT(false),
    /** A NUL stands ahead of the line that tells the wait. */
    NUL_IN_HEADER(false),
    /** Two lengths that contradict each other stand ahead of the line that tells the wait. */
    TWO_LENGTHS(false),
    /** Its body is longer than the dispatcher accepts. */
    BODY_TOO_LONG(false),
    /** It is written after the dispatcher has given the call up. */
    AFTER_GIVE_UP(false);

    /** Whether it is played on connections that have carried a call before, and on no others. */
    private final boolean onUsedConnections;

    AnswerFault(boolean onUsedConnections) {
        this.onUsedConnections = onUsedConnections;
    }

    /** Whether it is played on a connection. */
    boolean fits(boolean usedConnection) {
        return usedConnection || !onUsedConnections;
    }
}
