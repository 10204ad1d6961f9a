package elderseam.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Clock;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** How far an attempt had come when it broke: only past its last byte may the other side have run it. */
class AttemptProgressTest {
    private static final InetAddress HERE = here(); // where no other test listens: a port given back stays free
    private final IoLoop io;
    private final EndpointConnectionPool connections;

    AttemptProgressTest() throws Exception {
        io = new IoLoop(new Clock());
        connections = new EndpointConnectionPool(io, 1_000 * Clock.MS, 50, 64 << 10);
    }

    private static InetAddress here() {
        try {
            return InetAddress.getByAddress(new byte[] {127, 99, 0, 1});
        } catch (java.net.UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private CompletableFuture<HttpResult> send(int port, int bytes, long connectMs) {
        CompletableFuture<HttpResult> reply = new CompletableFuture<>();
        long by = io.clock.now() + 10_000 * Clock.MS;
        io.run(() -> connections.send(
                new EndpointAddress("h", HERE.getHostAddress() + ":" + port),
                new HttpRequest("POST", "/x", Map.of(), new byte[bytes]),
                io.clock.now() + connectMs * Clock.MS,
                by,
                reply::complete));
        return reply;
    }

    private static void check(Progress progress, Status failure, CompletableFuture<HttpResult> reply) throws Exception {
        HttpResult r = reply.get(20, TimeUnit.SECONDS);
        assertEquals(List.of(progress, failure), List.of(r.progress(), r.failure()));
    }

    /** Reads to the end of the headers. */
    private static void head(InputStream in) throws java.io.IOException {
        for (int seen = 0; seen < 4; ) {
            seen = in.read() == "\r\n\r\n".charAt(seen) ? seen + 1 : 0;
        }
    }

    @Test
    void aRefusedConnection() throws Exception {
        ServerSocket server = new ServerSocket(0, 1, HERE);
        server.close();
        check(Progress.NOT_CONNECTED, Status.BROKEN, send(server.getLocalPort(), 10, 5_000));
    }

    /** A full backlog takes no more: the connection never comes up, as with a host that has vanished. */
    @Test
    void aConnectionThatNeverComesUp() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, HERE)) {
            List<CompletableFuture<HttpResult>> replies = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                replies.add(send(server.getLocalPort(), 10, 700));
            }
            check(Progress.NOT_CONNECTED, Status.TIMED_OUT, replies.get(5));
        }
    }

    @Test
    void aBreakBeforeAndAfterTheLastByte() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, HERE)) {
            CompletableFuture<HttpResult> large = send(server.getLocalPort(), 32 << 20, 5_000);
            try (Socket s = server.accept()) {
                s.getInputStream().readNBytes(100);
                s.setSoLinger(true, 0);
            }
            check(Progress.PARTLY_WRITTEN, Status.BROKEN, large);
            CompletableFuture<HttpResult> small = send(server.getLocalPort(), 10, 5_000);
            try (Socket s = server.accept()) {
                head(s.getInputStream());
                s.getInputStream().readNBytes(10);
                s.setSoLinger(true, 0);
            }
            check(Progress.WRITTEN, Status.BROKEN, small);
        }
    }

    /** The connection came up when the request was not to leave any more: not a byte does, and the connection serves again. */
    @Test
    void whatMayNotLeaveWritesNothing() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, HERE)) {
            EndpointAddress host = new EndpointAddress("h", HERE.getHostAddress() + ":" + server.getLocalPort());
            HttpRequest call = new HttpRequest("POST", "/x", Map.of(), new byte[10]);
            long by = io.clock.now() + 10_000 * Clock.MS;
            CompletableFuture<HttpResult> held = new CompletableFuture<>(), sent = new CompletableFuture<>();
            io.run(() -> connections.send(host, call, by, by, () -> false, () -> {}, null, held::complete));
            check(Progress.NOT_CONNECTED, Status.HELD, held);
            io.run(() -> connections.send(
                    host, new HttpRequest("POST", "/later", Map.of(), new byte[0]), by, by, sent::complete));
            try (Socket s = server.accept()) {
                assertEquals("POST /later", new String(s.getInputStream().readNBytes(11), UTF_8));
                s.setSoLinger(true, 0);
            }
            check(Progress.WRITTEN, Status.BROKEN, sent);
        }
    }

    /** Given up when its answer lies in the socket: the answer counts. Given up before: it is told later, once. */
    @Test
    void anAnswerThatHasArrivedCountsBeforeAnyGivingUp() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, HERE)) {
            EndpointAddress host = new EndpointAddress("h", HERE.getHostAddress() + ":" + server.getLocalPort());
            HttpRequest call = new HttpRequest("POST", "/x", Map.of(), new byte[0]);
            long by = io.clock.now() + 10_000 * Clock.MS;
            for (boolean before : List.of(true, false)) {
                CompletableFuture<HttpResult> reply = new CompletableFuture<>(), late = new CompletableFuture<>();
                CompletableFuture<EndpointExchange> request = new CompletableFuture<>();
                io.run(() -> request.complete(
                        connections.send(host, call, by, by, () -> true, () -> {}, late::complete, reply::complete)));
                try (Socket s = server.accept()) {
                    InputStream in = s.getInputStream();
                    head(in);
                    byte[] answer =
                            "HTTP/1.1 429 x\r\nX-RateLimit-Wait-Ms: 900\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                                    .getBytes(UTF_8);
                    if (before) {
                        CompletableFuture<Void> written = new CompletableFuture<>();
                        io.run(
                                () -> { // the I/O thread is here: it has not read the answer when it gives up
                                    written.join();
                                    request.join().cancel();
                                });
                        s.getOutputStream().write(answer);
                        written.complete(null);
                        assertEquals(429, reply.get(20, TimeUnit.SECONDS).code());
                    } else {
                        io.run(() -> request.join().cancel());
                        check(Progress.WRITTEN, Status.ABANDONED, reply);
                        assertEquals(-1, in.read(), "our sending has ended: the call is given up");
                        s.getOutputStream().write(answer);
                        assertEquals("900", late.get(20, TimeUnit.SECONDS).header("X-RateLimit-Wait-Ms"));
                    }
                }
            }
        }
    }

    /** Where no more may be open, one that carries a request stays, and the new request has not left; an idle one makes room. */
    @Test
    void noRequestIsEndedToMakeRoom() throws Exception {
        try (ServerSocket one = new ServerSocket(0, 1, HERE);
                ServerSocket other = new ServerSocket(0, 1, HERE)) {
            io.run(() -> connections.setMaxConnections(1));
            CompletableFuture<HttpResult> first = send(one.getLocalPort(), 10, 5_000);
            Socket carrying = one.accept();
            head(carrying.getInputStream());
            carrying.getInputStream().readNBytes(10);
            check(Progress.NOT_CONNECTED, Status.BROKEN, send(other.getLocalPort(), 10, 5_000));
            carrying.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(UTF_8));
            assertEquals(200, first.get(20, TimeUnit.SECONDS).code());
            CompletableFuture<HttpResult> unused = send(other.getLocalPort(), 10, 5_000);
            head(other.accept().getInputStream());
            assertEquals(-1, carrying.getInputStream().read());
        }
    }
}
