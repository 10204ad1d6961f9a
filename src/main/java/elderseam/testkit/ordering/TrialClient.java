package elderseam.testkit.ordering;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;

/**
 * A client of one message class, for an ordered class of one ordering key: hands in one message after another, each once the
 * one before has its answer, on a connection that it uses for as long as that is open. What gets no answer within 400 ms is
 * given up, and comes again under a new id. Runs on a thread of its own.
 */
final class TrialClient implements Runnable {
    private static final int ANSWER_TIMEOUT_MS = 400;
    private static final int CONNECT_TIMEOUT_MS = 400;
    private static final int RETRY_PAUSE_MS = 60;
    private static final long MILLISECOND_NS = 1_000_000;
    private static final String BODY = "x".repeat(2_000); // so that the journal is compacted now and then

    private final String name;
    private final TrialClass messageClass;
    private final int destination;
    private final InetSocketAddress dispatcher;
    private final OrderHistory history;
    private final SplittableRandom random;
    private final TrialLoad load;
    private HttpConnection connection; // null while there is none
    private int handedIn;
    private int refused;
    private volatile boolean stopped;

    TrialClient(
            String name,
            TrialClass messageClass,
            int destination,
            InetSocketAddress dispatcher,
            OrderHistory history,
            SplittableRandom random,
            TrialLoad load) {
        this.name = name;
        this.messageClass = messageClass;
        this.destination = destination;
        this.dispatcher = dispatcher;
        this.history = history;
        this.random = random;
        this.load = load;
    }

    /** Hands in nothing more once the message at hand is answered. */
    void stop() {
        stopped = true;
    }

    /** How many messages it has handed in. */
    int handedIn() {
        return handedIn;
    }

    /** How many were rejected at once. */
    int refused() {
        return refused;
    }

    @Override
    public void run() {
        try {
            while (!stopped && handedIn < load.messagesPerClient()) {
                handIn();
                Thread.sleep(random.nextInt(1, load.maxPauseMs() + 1));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
        }
    }

    private void handIn() throws InterruptedException {
        long remainingMs = random.nextInt(load.minRemainingMs(), load.maxRemainingMs() + 1);
        String id = name + "-" + handedIn;
        try {
            if (connection == null) {
                connection = HttpConnection.connect(dispatcher, CONNECT_TIMEOUT_MS);
            }
        } catch (IOException e) {
            Thread.sleep(RETRY_PAUSE_MS);
            return; // nobody there yet: nothing was handed in
        }
        handedIn++;
        history.handedIn(id, keyOf(id), messageClass, System.nanoTime() + remainingMs * MILLISECOND_NS);
        try {
            connection.write(request(id, remainingMs));
            HttpConnection.Message answer = connection.read(ANSWER_TIMEOUT_MS);
            if (answer == null) {
                disconnect();
                return;
            }
            onAnswer(id, answer);
        } catch (IOException e) { // no answer in time, or the connection broke: it counts for nothing
            disconnect();
        }
    }

    private void onAnswer(String id, HttpConnection.Message answer) {
        if (answer.status() / 100 == 2) {
            history.accepted(id);
        } else {
            refused++;
        }
        if (answer.header("Connection").equalsIgnoreCase("close")) {
            disconnect();
        }
    }

    /** A message of a class without order has a key of its own. */
    private String keyOf(String id) {
        return messageClass.isOrdered() ? name : id;
    }

    private String body() {
        return load.maxBodyBytes() == 0 ? BODY : BODY.repeat(1 + random.nextInt(load.maxBodyBytes()) / BODY.length());
    }

    private String request(String id, long remainingMs) {
        String body = body();
        return "POST " + messageClass.path() + "?thread=" + keyOf(id) + " HTTP/1.1\r\nHost: t\r\nX-Txn: " + id
                + "\r\nX-Remaining: " + remainingMs + "m\r\nX-Addressing: dest=" + destination + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n" + body;
    }

    private void disconnect() {
        if (connection != null) {
            try {
                connection.close();
            } catch (IOException e) {
                // gone already
            }
            connection = null;
        }
    }
}
