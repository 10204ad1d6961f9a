package elderseam.testkit.ordering;

import java.io.IOException;
import java.net.InetAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Pattern;

/** Discovery with one list for the whole run, and the platform that takes notifications, late and sometimes not at all. */
final class RecordingPlatform implements AutoCloseable {
    private static final Pattern MESSAGE_ID = Pattern.compile("\"id\":\"([^\"]+)\"");
    private static final String UNCHANGED = "{\"version\":1,\"full\":false,\"servers\":[]}";
    private static final int WATCH_LIMIT_MS = 15_000;

    private final OrderHistory history;
    private final SplittableRandom random;
    private final int maxDelayMs;
    private final double refusedRatio;
    private final CopiedAnswers copies;
    private final LoopbackServer server;
    private volatile String list = "";

    /**
     * @param maxDelayMs of the answer to notifications
     * @param refusedRatio how many calls with notifications get 503
     */
    RecordingPlatform(
            InetAddress address,
            OrderHistory history,
            SplittableRandom random,
            int maxDelayMs,
            double refusedRatio,
            CopiedAnswers copies)
            throws IOException {
        this.history = history;
        this.random = random;
        this.maxDelayMs = maxDelayMs;
        this.refusedRatio = refusedRatio;
        this.copies = copies;
        this.server = new LoopbackServer(address, this::serve);
    }

    String address() {
        return server.address();
    }

    /** The complete endpoint list that it tells, as JSON. */
    void setList(String json) {
        list = json;
    }

    private void serve(HttpConnection connection) throws IOException {
        for (HttpConnection.Message request = connection.read(0); request != null; request = connection.read(0)) {
            if (request.startLine().startsWith("POST /status")) {
                answerNotifications(connection, request);
            } else if (request.startLine().contains("after=")
                    && !request.startLine().contains("after=0")) {
                if (connection.endsWithin(WATCH_LIMIT_MS)) {
                    return;
                }
                connection.answer(HttpConnection.answer(200, "", UNCHANGED), copies);
            } else {
                connection.answer(HttpConnection.answer(200, "", list), copies);
            }
        }
    }

    private void answerNotifications(HttpConnection connection, HttpConnection.Message request) throws IOException {
        List<String> ids = ids(request.body());
        ids.forEach(history::notificationCame);
        if (connection.endsWithin(nextDelayMs())) {
            throw new IOException("the dispatcher gave up");
        }
        if (nextIsRefused()) {
            connection.answer(HttpConnection.answer(503, "", ""), copies);
            return;
        }
        ids.forEach(history::notified);
        connection.answer("HTTP/1.1 204 x\r\n\r\n", copies);
    }

    private static List<String> ids(String body) {
        return MESSAGE_ID.matcher(body).results().map(id -> id.group(1)).toList();
    }

    private synchronized long nextDelayMs() {
        return random.nextInt(1, maxDelayMs + 1);
    }

    private synchronized boolean nextIsRefused() {
        return random.nextDouble() < refusedRatio;
    }

    /** Accepts no further connections; open ones are served on. */
    void stopAccepting() throws IOException {
        server.stopAccepting();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
