package elderseam.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.Clock;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A server on a loopback address, and clients on plain sockets. Requests for /now are answered at once. */
abstract class HttpServerHarness {
    static final String GET = "GET /now HTTP/1.1\r\nHost: a\r\n\r\n";
    static final String GET_ANSWERED_LATER = "GET /later HTTP/1.1\r\nHost: a\r\n\r\n";
    static final byte[] OWN_LOOPBACK_ADDRESS = {127, 99, 0, 2};
    static final int MAX_CONNECTIONS = 3;
    static final int MAX_BODY_BYTES = 64 << 10;
    static final int MAX_BODY_BYTES_IN_TRANSIT = 1 << 20;
    static final int TIMEOUT_S = 20;

    /** The answerers of all requests except those for /now, which are answered immediately. */
    final BlockingQueue<HttpServer.Answerer> answerers = new LinkedBlockingQueue<>();

    final List<Socket> clients = new ArrayList<>();
    IoLoop io;
    HttpServer server;

    @BeforeEach
    void startServer() throws Exception {
        io = new IoLoop(new Clock());
        startServer(MAX_BODY_BYTES_IN_TRANSIT);
    }

    void startServer(int maxBodyBytesInTransit) throws IOException {
        server = new HttpServer(
                io,
                new InetSocketAddress(InetAddress.getByAddress(OWN_LOOPBACK_ADDRESS), 0),
                MAX_BODY_BYTES,
                MAX_CONNECTIONS,
                maxBodyBytesInTransit,
                null,
                this::handle);
    }

    @AfterEach
    void closeAll() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        io.run(() -> {
            server.stopAccepting();
            server.closeConnections();
        });
    }

    void handle(HttpServer.Request request, HttpServer.Answerer answerer) {
        if (request.path().equals("/now")) {
            answerer.answer(200, Map.of(), "");
        } else {
            answerers.add(answerer);
        }
    }

    /** Connects a client and sends a text. */
    Socket connect(String text) throws IOException {
        Socket client =
                new Socket(server.address().getAddress(), server.address().getPort());
        client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        clients.add(client);
        send(client, text);
        return client;
    }

    /** Connects a client and completes one request, so that its connection is idle. */
    Socket connectIdle() throws IOException {
        Socket client = connect(GET);
        assertStatus(200, readHead(client));
        return client;
    }

    static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads the head of the next response. */
    static String readHead(Socket client) throws IOException {
        InputStream in = client.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int character = in.read();
            assertTrue(character >= 0, "end of stream after: " + head);
            head.append((char) character);
        }
        return head.toString();
    }

    static void assertStatus(int code, String head) {
        assertTrue(head.startsWith("HTTP/1.1 " + code), head);
    }

    static void assertUnavailable(String head) {
        assertStatus(503, head);
        assertTrue(head.contains("Retry-After: 1"), head);
    }

    /** Asserts that the connection ends without a reset and without further bytes. */
    static void assertEnds(Socket client, String message) throws IOException {
        String rest = new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertEquals("", rest, message);
    }

    static void assertEnds(Socket client) throws IOException {
        assertEnds(client, "surplus bytes after the last response");
    }

    HttpServer.Answerer nextAnswerer() throws InterruptedException {
        return answerers.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Runs a task on the I/O thread, and returns once it and the tasks that it deferred have run. */
    void runOnIoThread(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        io.run(() -> {
            task.run();
            io.afterReading(() -> done.complete(null));
        });
        done.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Returns once the server has read all input that was sent to it. */
    void awaitReading() throws Exception {
        runOnIoThread(() -> {});
    }
}
