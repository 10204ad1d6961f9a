package elderseam.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Clock;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * The progress that a failed exchange reports. The endpoint may have executed the request only if its last byte was
 * written.
 */
class AttemptProgressTest {
    /** No other test listens on this address, so that a closed port is not reused. */
    private static final InetAddress LOCAL = localAddress();

    private static final int TIMEOUT_S = 20;
    private static final long CONNECT_TIMEOUT_MS = 5_000;
    private static final long ANSWER_TIMEOUT_NS = 10_000 * Clock.MILLISECOND_NS;
    private static final int SMALL_BODY_BYTES = 10;
    private static final int BODY_BEYOND_SOCKET_BUFFERS = 32 << 20;
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final byte[] TOO_MANY_REQUESTS =
            "HTTP/1.1 429 x\r\nX-RateLimit-Wait-Ms: 900\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                    .getBytes(UTF_8);

    private final IoLoop io;
    private final EndpointConnectionPool connections;

    AttemptProgressTest() throws IOException {
        io = new IoLoop(new Clock());
        connections = new EndpointConnectionPool(io, 1_000 * Clock.MILLISECOND_NS, 50, 64 << 10);
    }

    private static InetAddress localAddress() {
        try {
            return InetAddress.getByAddress(new byte[] {127, 99, 0, 1});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private static EndpointAddress endpoint(ServerSocket server) {
        return new EndpointAddress("h", LOCAL.getHostAddress() + ":" + server.getLocalPort());
    }

    private static HttpRequest post(String path, int bodyBytes) {
        return new HttpRequest("POST", path, Map.of(), new byte[bodyBytes]);
    }

    /** Sends a request with a body of {@code bodyBytes} bytes. */
    private CompletableFuture<HttpResult> send(ServerSocket server, int bodyBytes, long connectTimeoutMs) {
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        long answerBy = answerBy();
        io.run(() -> connections.send(
                endpoint(server),
                post("/x", bodyBytes),
                io.clock.now() + connectTimeoutMs * Clock.MILLISECOND_NS,
                answerBy,
                result::complete));
        return result;
    }

    private long answerBy() {
        return io.clock.now() + ANSWER_TIMEOUT_NS;
    }

    private static HttpResult await(CompletableFuture<HttpResult> result) throws Exception {
        return result.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static void assertFailed(Progress progress, Status failure, CompletableFuture<HttpResult> future)
            throws Exception {
        HttpResult result = await(future);
        assertEquals(List.of(progress, failure), List.of(result.progress(), result.failure()));
    }

    private static void readHead(InputStream in) throws IOException {
        int matched = 0;
        while (matched < END_OF_HEAD.length()) {
            matched = in.read() == END_OF_HEAD.charAt(matched) ? matched + 1 : 0;
        }
    }

    /** Reads the head and the body of a request with a small body. */
    private static void readSmallRequest(Socket socket) throws IOException {
        readHead(socket.getInputStream());
        socket.getInputStream().readNBytes(SMALL_BODY_BYTES);
    }

    /** Makes {@link Socket#close} reset the connection. */
    private static void resetOnClose(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
    }

    @Test
    void aRefusedConnectionIsReportedAsNotConnected() throws Exception {
        ServerSocket server = new ServerSocket(0, 1, LOCAL);
        server.close();
        assertFailed(Progress.NOT_CONNECTED, Status.BROKEN, send(server, SMALL_BODY_BYTES, CONNECT_TIMEOUT_MS));
    }

    /** With a full backlog, connection attempts get no reply, as with a host that is down. */
    @Test
    void aConnectTimeoutIsReportedAsNotConnected() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, LOCAL)) {
            List<CompletableFuture<HttpResult>> results = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                results.add(send(server, SMALL_BODY_BYTES, 700));
            }
            assertFailed(Progress.NOT_CONNECTED, Status.TIMED_OUT, results.get(5));
        }
    }

    @Test
    void aResetIsReportedAsPartlyWrittenBeforeTheLastByteAndAsWrittenAfterIt() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, LOCAL)) {
            CompletableFuture<HttpResult> large = send(server, BODY_BEYOND_SOCKET_BUFFERS, CONNECT_TIMEOUT_MS);
            try (Socket socket = server.accept()) {
                socket.getInputStream().readNBytes(100);
                resetOnClose(socket);
            }
            assertFailed(Progress.PARTLY_WRITTEN, Status.BROKEN, large);
            CompletableFuture<HttpResult> small = send(server, SMALL_BODY_BYTES, CONNECT_TIMEOUT_MS);
            try (Socket socket = server.accept()) {
                readSmallRequest(socket);
                resetOnClose(socket);
            }
            assertFailed(Progress.WRITTEN, Status.BROKEN, small);
        }
    }

    /**
     * A request that may no longer be sent once the connection is established: nothing is written, and the connection
     * is reused for the next request.
     */
    @Test
    void aRequestThatMayNotBeSentWritesNothing() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, LOCAL)) {
            EndpointAddress endpoint = endpoint(server);
            long deadline = answerBy();
            CompletableFuture<HttpResult> unsent = new CompletableFuture<>();
            io.run(() -> connections.send(
                    endpoint, post("/x", SMALL_BODY_BYTES), deadline, deadline, new ExchangeListener() {
                        @Override
                        public boolean maySend() {
                            return false;
                        }

                        @Override
                        public void ended(HttpResult result) {
                            unsent.complete(result);
                        }
                    }));
            assertFailed(Progress.NOT_CONNECTED, Status.NOT_STARTED, unsent);
            CompletableFuture<HttpResult> sent = new CompletableFuture<>();
            io.run(() -> connections.send(endpoint, post("/later", 0), deadline, deadline, sent::complete));
            try (Socket socket = server.accept()) {
                byte[] firstBytes = socket.getInputStream().readNBytes("POST /later".length());
                assertEquals("POST /later", new String(firstBytes, UTF_8));
                resetOnClose(socket);
            }
            assertFailed(Progress.WRITTEN, Status.BROKEN, sent);
        }
    }

    /** An exchange that can be cancelled, with futures for its result and its late result. */
    private final class CancellableExchange implements ExchangeListener {
        final CompletableFuture<HttpResult> result = new CompletableFuture<>();
        final CompletableFuture<HttpResult> lateResult = new CompletableFuture<>();
        private final CompletableFuture<EndpointExchange> exchange = new CompletableFuture<>();

        CancellableExchange(ServerSocket server) {
            long deadline = answerBy();
            io.run(() ->
                    exchange.complete(connections.send(endpoint(server), post("/x", 0), deadline, deadline, this)));
        }

        @Override
        public boolean awaitsLateResult() {
            return true;
        }

        @Override
        public void lateResult(HttpResult late) {
            lateResult.complete(late);
        }

        @Override
        public void ended(HttpResult ended) {
            result.complete(ended);
        }

        /** Cancels the exchange; must be called on the I/O thread. */
        void cancel() {
            exchange.join().cancel();
        }
    }

    @Test
    void aResponseThatArrivedBeforeTheCancellationIsTheResult() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, LOCAL)) {
            CancellableExchange exchange = new CancellableExchange(server);
            try (Socket socket = server.accept()) {
                readHead(socket.getInputStream());
                CompletableFuture<Void> written = new CompletableFuture<>();
                io.run(() -> {
                    written.join(); // blocks the I/O thread, so that the response is still unread when it cancels
                    exchange.cancel();
                });
                socket.getOutputStream().write(TOO_MANY_REQUESTS);
                written.complete(null);
                assertEquals(429, await(exchange.result).code());
            }
        }
    }

    @Test
    void aResponseAfterACancellationIsTheLateResult() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, LOCAL)) {
            CancellableExchange exchange = new CancellableExchange(server);
            try (Socket socket = server.accept()) {
                readHead(socket.getInputStream());
                io.run(exchange::cancel);
                assertFailed(Progress.WRITTEN, Status.ABANDONED, exchange.result);
                assertEquals(-1, socket.getInputStream().read(), "the sending side was shut down");
                socket.getOutputStream().write(TOO_MANY_REQUESTS);
                assertEquals("900", await(exchange.lateResult).header("X-RateLimit-Wait-Ms"));
            }
        }
    }

    /**
     * At the connection limit, a connection that carries a request is not closed, and a new request fails locally. An
     * idle connection is closed instead.
     */
    @Test
    void onlyIdleConnectionsAreClosedAtTheConnectionLimit() throws Exception {
        try (ServerSocket busyServer = new ServerSocket(0, 1, LOCAL);
                ServerSocket otherServer = new ServerSocket(0, 1, LOCAL)) {
            io.run(() -> connections.setMaxConnections(1));
            CompletableFuture<HttpResult> first = send(busyServer, SMALL_BODY_BYTES, CONNECT_TIMEOUT_MS);
            Socket busy = busyServer.accept();
            readSmallRequest(busy);
            CompletableFuture<HttpResult> overLimit = send(otherServer, SMALL_BODY_BYTES, CONNECT_TIMEOUT_MS);
            assertFailed(Progress.NOT_CONNECTED, Status.LOCAL_FAILURE, overLimit); // the endpoint was not contacted
            busy.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(UTF_8));
            assertEquals(200, await(first).code());
            CompletableFuture<HttpResult> unusedResult = send(otherServer, SMALL_BODY_BYTES, CONNECT_TIMEOUT_MS);
            readHead(otherServer.accept().getInputStream());
            assertEquals(-1, busy.getInputStream().read());
        }
    }
}
