package elderseam.http;

import io.undertow.util.Headers;
import java.util.Map;

/**
 * The response that a request waits for: sent by the handler, or by the server in its place, or abandoned with the
 * connection. Confined to the I/O thread.
 */
final class PendingAnswer implements HttpServer.Answerer {
    /** Writes a response to the connection. */
    interface Writer {
        /** As {@link HttpServer.Answerer#answer}. */
        void write(int code, Map<String, String> headers, String body);
    }

    private static final Map<String, String> END_HEADERS =
            Map.of(Headers.CONNECTION_STRING, "close", Headers.RETRY_AFTER_STRING, "1");

    private final Writer writer;
    private final ClientConnection connection;
    private final boolean clientLeft;
    private Runnable onAbandoned = () -> {};
    private boolean done;

    /**
     * @param connection the client's; null if it was closed
     * @param clientLeft whether the client had ended its side when the request had arrived
     */
    PendingAnswer(Writer writer, ClientConnection connection, boolean clientLeft) {
        this.writer = writer;
        this.connection = connection;
        this.clientLeft = clientLeft;
    }

    @Override
    public boolean hadClientLeft() {
        return clientLeft;
    }

    @Override
    public boolean hasClientLeft() {
        return clientLeft || connection == null || connection.isAbandoned();
    }

    @Override
    public void answer(int code, Map<String, String> headers, String body) {
        if (!done) {
            done = true;
            writer.write(code, headers, body);
        }
    }

    @Override
    public void onAbandoned(Runnable listener) {
        onAbandoned = listener;
    }

    /** Answers in the place of the handler, without a body, and ends the connection. */
    void end(int code) {
        if (!done) {
            abandon();
            writer.write(code, END_HEADERS, "");
        }
    }

    /** The connection has ended: what the handler answers is ignored. */
    void abandon() {
        if (!done) {
            done = true;
            onAbandoned.run();
        }
    }
}
