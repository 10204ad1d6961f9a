package elderseam.testkit.ordering;

import java.io.IOException;
import java.util.Optional;
import java.util.SplittableRandom;

/** Draws rejections with a wait, and writes them with their faults. Thread-safe. */
final class SpoiltRejections {
    /** A rejection that was drawn. */
    record Rejection(AnswerFault fault, int waitMs) {}

    /** Records that the line which tells the wait has been written. */
    interface WaitRecorder {
        void waitBegan(int waitMs, AnswerFault fault);
    }

    private static final int JUNK_BYTES = 60;
    private static final int LONG_HEADER_BYTES = 20_000;
    private static final int COPY_DELAY_MS = 8;
    private static final int REJECTION_DELAY_MS = 20;
    private static final int PART_DELAY_MS = 30;
    private static final int HEAD_END_DELAY_MS = 1_200;
    private static final int GIVE_UP_LIMIT_MS = 8_000;
    private static final String STATUS_LINE = "HTTP/1.1 429 x\r\n";
    private static final String NO_BODY = "Content-Length: 0\r\n\r\n";
    private static final String CUT_BODY = "Content-Length: 10\r\n\r\nabc";

    private final RejectionFault rejections;
    private final SplittableRandom random;

    /** {@code random}: used by many threads in an order of their own, under this object's lock. */
    SpoiltRejections(RejectionFault rejections, SplittableRandom random) {
        this.rejections = rejections;
        this.random = random;
    }

    /** Whether a call is rejected, and how. */
    synchronized Optional<Rejection> next(boolean usedConnection) {
        if (random.nextDouble() >= rejections.ratio()) {
            return Optional.empty();
        }
        int waitMs = random.nextInt(rejections.minWaitMs(), rejections.maxWaitMs() + 1);
        boolean spoilt = random.nextBoolean() && !rejections.faults().isEmpty();
        AnswerFault drawn = spoilt
                ? rejections.faults().get(random.nextInt(rejections.faults().size()))
                : AnswerFault.NONE;
        return Optional.of(new Rejection(drawn.fits(usedConnection) ? drawn : AnswerFault.NONE, waitMs));
    }

    private synchronized byte[] junk() {
        byte[] bytes = new byte[JUNK_BYTES];
        random.nextBytes(bytes);
        return bytes;
    }

    /** Writes what comes ahead of the time at which the call is answered. */
    static void writeAhead(HttpConnection connection, Rejection rejection) throws IOException {
        if (rejection.fault() == AnswerFault.SUCCESS_AHEAD) {
            pause(COPY_DELAY_MS);
            connection.write(HttpConnection.answer(200, "", ""));
        }
    }

    /** Writes a rejection with its fault; false if the connection has ended. */
    boolean write(HttpConnection connection, Rejection rejection, WaitRecorder recorder) throws IOException {
        String wait = "X-RateLimit-Wait-Ms: " + rejection.waitMs() + "\r\n";
        String whole = STATUS_LINE + wait + NO_BODY;
        if (rejection.fault() == AnswerFault.AFTER_GIVE_UP && !connection.endsWithin(GIVE_UP_LIMIT_MS)) {
            return true;
        }
        if (rejection.fault() == AnswerFault.SUCCESS_THEN_REJECTION) {
            connection.write(HttpConnection.answer(200, "", ""));
            pause(REJECTION_DELAY_MS);
        }
        switch (rejection.fault()) {
            case JUNK_BEHIND -> connection.write(HttpConnection.bytes(whole), junk());
            case JUNK_AHEAD -> connection.write(junk(), HttpConnection.bytes(whole));
            case COPY_BEHIND -> connection.write(whole + whole);
            case CONTINUE_AHEAD -> connection.write("HTTP/1.1 100 Continue\r\n\r\n" + whole);
            case BODY_CUT_BY_END, BODY_CUT_BY_RESET -> connection.write(STATUS_LINE + wait + CUT_BODY);
            case HEAD_CUT_BY_END -> connection.write(STATUS_LINE + wait);
            case HEAD_END_LATE, HEAD_END_MISSING ->
                connection.write(STATUS_LINE + "Content-Length: 0\r\n" + wait.strip());
            case TWO_PARTS -> connection.write(STATUS_LINE + wait);
            case LONG_HEADER -> connection.write(spoiltAhead("X-Long: " + "x".repeat(LONG_HEADER_BYTES), wait));
            case FOLDED_LINE -> connection.write(spoiltAhead("X-Folded: a\r\n b", wait));
            case FOLDED_WAIT -> connection.write(whole.replace("Ms: ", "Ms:\r\n "));
            case NUL_IN_HEADER -> connection.write(spoiltAhead("X-Nul: a\0b", wait));
            case TWO_LENGTHS -> connection.write(spoiltAhead("Content-Length: 0\r\nContent-Length: 5", wait));
            case BODY_TOO_LONG -> connection.write(STATUS_LINE + wait + "Content-Length: 99999999\r\n\r\n");
            default -> connection.write(whole);
        }
        recorder.waitBegan(rejection.waitMs(), rejection.fault());
        return writeBehind(connection, rejection.fault(), whole);
    }

    private static String spoiltAhead(String lines, String wait) {
        return STATUS_LINE + lines + "\r\n" + wait + NO_BODY;
    }

    /** Writes what follows the line that tells the wait; false if the connection has ended. */
    private static boolean writeBehind(HttpConnection connection, AnswerFault fault, String whole) throws IOException {
        switch (fault) {
            case COPY_SOON -> {
                pause(COPY_DELAY_MS);
                connection.write(whole);
            }
            case TWO_PARTS -> {
                pause(PART_DELAY_MS);
                connection.write(NO_BODY);
            }
            case HEAD_END_LATE -> {
                pause(HEAD_END_DELAY_MS);
                connection.write("\r\n\r\n");
            }
            case HEAD_END_MISSING -> {
                pause(HEAD_END_DELAY_MS);
                connection.reset();
                return false;
            }
            case BODY_CUT_BY_RESET -> {
                connection.reset();
                return false;
            }
            case BODY_CUT_BY_END, HEAD_CUT_BY_END, END_BEHIND, AFTER_GIVE_UP -> {
                return false;
            }
            default -> {
                // nothing follows
            }
        }
        return true;
    }

    private static void pause(int delayMs) throws IOException {
        try {
            Thread.sleep(delayMs);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
