package elderseam.testkit.ordering;

import elderseam.testkit.ordering.OrderHistory.Call;
import elderseam.testkit.ordering.OrderHistory.CallEnd;
import java.io.IOException;
import java.net.InetAddress;
import java.util.Optional;
import java.util.SplittableRandom;

/** An endpoint that records its calls and answers them well or badly, as a seed says. */
final class RecordingEndpoint implements AutoCloseable {
    private static final int HANG_LIMIT_MS = 20_000;
    private static final int MAX_FAULT_DELAY_MS = 120;

    /** What it does with a call. */
    private enum Answer {
        DELIVER,
        HANG,
        RESET,
        FAIL,
        REFUSE
    }

    private final OrderHistory history;
    private final SplittableRandom random;
    private final int minDelayMs;
    private final int maxDelayMs;
    private final double faultRatio;
    private final CopiedAnswers copies;
    private final int breaker;
    private final SpoiltRejections rejections;
    private final LoopbackServer server;

    /**
     * @param breaker number of the circuit breaker that it shares with the endpoints which a wait of one of them binds
     * @param random used by many threads in an order of their own, under this object's lock
     */
    RecordingEndpoint(
            InetAddress address,
            int breaker,
            OrderHistory history,
            SplittableRandom random,
            TrialSurroundings surroundings,
            CopiedAnswers copies,
            SpoiltRejections rejections)
            throws IOException {
        this.breaker = breaker;
        this.history = history;
        this.random = random;
        this.minDelayMs = surroundings.minDelayMs();
        this.maxDelayMs = surroundings.maxDelayMs();
        this.faultRatio = surroundings.badAnswerRatio();
        this.copies = copies;
        this.rejections = rejections;
        this.server = new LoopbackServer(address, this::serve);
    }

    String address() {
        return server.address();
    }

    private void serve(HttpConnection connection) throws IOException {
        boolean used = false;
        for (HttpConnection.Message request = connection.read(0); request != null; request = connection.read(0)) {
            Optional<SpoiltRejections.Rejection> rejection = rejections.next(used);
            Call call = history.callBegan(request.header("X-Txn"), breaker);
            boolean open = rejection.isPresent() ? reject(connection, call, rejection.get()) : answer(connection, call);
            if (!open) {
                return;
            }
            used = true;
        }
    }

    /** Answers one call; false where that ended the connection. */
    private boolean answer(HttpConnection connection, Call call) throws IOException {
        Answer answer = nextAnswer();
        long delayMs = answer == Answer.HANG ? HANG_LIMIT_MS : nextDelayMs(answer);
        if (connection.endsWithin(delayMs)) {
            history.callEnded(call, CallEnd.BROKEN);
            return false;
        }
        switch (answer) {
            case DELIVER -> end(connection, call, CallEnd.DELIVERED, 200, "");
            case FAIL -> end(connection, call, CallEnd.FAILED, 500, "");
            case REFUSE -> end(connection, call, CallEnd.REFUSED, 429, "X-RateLimit-Wait-Ms: 50\r\n");
            case HANG, RESET -> {
                history.callEnded(call, CallEnd.BROKEN);
                connection.reset();
                return false;
            }
        }
        return true;
    }

    /** Rejects one call with a wait; false where that ended the connection. */
    private boolean reject(HttpConnection connection, Call call, SpoiltRejections.Rejection rejection)
            throws IOException {
        SpoiltRejections.writeAhead(connection, rejection);
        if (connection.endsWithin(nextDelayMs(Answer.DELIVER))) {
            history.callEnded(call, CallEnd.BROKEN);
            return false;
        }
        boolean succeeds = rejection.fault() == AnswerFault.SUCCESS_THEN_REJECTION;
        if (rejection.fault() != AnswerFault.AFTER_GIVE_UP) {
            history.callEnded(call, succeeds ? CallEnd.DELIVERED : CallEnd.REFUSED);
        }
        boolean open =
                rejections.write(connection, rejection, (waitMs, fault) -> history.waitBegan(breaker, waitMs, fault));
        if (call.how == null) {
            history.callEnded(call, CallEnd.BROKEN);
        }
        return open;
    }

    private void end(HttpConnection connection, Call call, CallEnd how, int status, String headers) throws IOException {
        history.callEnded(call, how);
        connection.answer(HttpConnection.answer(status, headers, ""), copies);
    }

    private synchronized Answer nextAnswer() {
        if (random.nextDouble() >= faultRatio) {
            return Answer.DELIVER;
        }
        return Answer.values()[1 + random.nextInt(Answer.values().length - 1)];
    }

    private synchronized long nextDelayMs(Answer answer) {
        return answer == Answer.DELIVER
                ? random.nextInt(minDelayMs, maxDelayMs + 1)
                : random.nextInt(1, MAX_FAULT_DELAY_MS);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
