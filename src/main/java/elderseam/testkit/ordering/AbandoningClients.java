package elderseam.testkit.ordering;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that don't stay for their answer: some send whole messages and leave, others stop within a request and stay
 * connected. None of their messages is in the history, so that a call of one is a violation. Thread-safe.
 */
final class AbandoningClients {
    private static final int CONNECT_TIMEOUT_MS = 100;
    private static final int IDLE_CLIENTS = 60;
    private static final int LEAVING_CLIENTS = 20;
    private static final int STALLED_CLIENTS = 100;
    private static final int LARGE_BODY_BYTES = 32 << 10;
    private static final int MANY_FIELDS = 1_950;

    private final InetSocketAddress dispatcher;
    private final AtomicInteger sent = new AtomicInteger();

    AbandoningClients(InetSocketAddress dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** Clients that connect, and send nothing; their connections go to {@code open}. */
    void connect(List<AutoCloseable> open) {
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            try {
                open.add(connect());
            } catch (IOException e) {
                return; // refused: as many as may be
            }
        }
    }

    /** Messages that must not run twice, small and large, whose clients leave by FIN or RST before this returns. */
    void sendAndLeave() throws IOException {
        for (int i = 0; i < LEAVING_CLIENTS; i++) {
            String body = "x".repeat(i % 4 == 0 ? LARGE_BODY_BYTES : 1);
            try (Socket socket = connect()) {
                write(socket, head(body.length()) + "\r\n" + body);
                socket.setSoLinger(i % 2 == 0, 0); // every second connection is reset
            }
        }
    }

    /** Clients that stop within a head of very many fields, or within a large body; their connections go to {@code open}. */
    void stall(List<AutoCloseable> open) {
        for (int i = 0; i < STALLED_CLIENTS; i++) {
            try {
                Socket socket = connect();
                open.add(socket);
                write(socket, i % 2 == 0 ? headOfManyFields() : head(LARGE_BODY_BYTES) + "\r\n" + "x".repeat(100));
            } catch (IOException e) {
                return; // refused: as many as may be
            }
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(dispatcher, CONNECT_TIMEOUT_MS);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private String head(int bodyBytes) {
        return "POST " + TrialClass.ONCE.path() + " HTTP/1.1\r\nHost: t\r\nX-Txn: left-" + sent.getAndIncrement()
                + "\r\nX-Remaining: 8000m\r\nX-Addressing: dest=1\r\nContent-Length: " + bodyBytes + "\r\n";
    }

    private String headOfManyFields() {
        StringBuilder head = new StringBuilder(head(0));
        for (int i = 0; i < MANY_FIELDS; i++) {
            head.append(Integer.toString(i, Character.MAX_RADIX)).append(":\r\n");
        }
        return head.toString();
    }
}
