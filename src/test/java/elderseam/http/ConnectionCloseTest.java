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
import org.junit.jupiter.api.Test;
import org.xnio.Options;

/** How downstream connections end: in order, over nothing unread, and none without an answer that a client waits for. */
class ConnectionCloseTest {
    private static final String GET = "GET /now HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final int MOST = 3;

    private final BlockingQueue<HttpServer.Answerer> asked =
            new LinkedBlockingQueue<>(); // of requests for anything but /now
    private final List<Socket> clients = new ArrayList<>();
    private IoLoop io;
    private HttpServer server;

    @BeforeEach
    void serve() throws Exception {
        io = new IoLoop(new Clock());
        server = new HttpServer(
                io,
                new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 99, 0, 2}), 0),
                64 << 10,
                MOST,
                1 << 20,
                null,
                (r, to) -> {
                    if (r.path().equals("/now")) {
                        to.answer(200, Map.of(), "");
                    } else {
                        asked.add(to);
                    }
                });
    }

    @AfterEach
    void end() throws Exception {
        for (Socket s : clients) {
            s.close();
        }
        io.run(() -> {
            server.stopAccepting();
            server.closeConnections();
        });
    }

    private Socket client(String text) throws IOException {
        Socket s = new Socket(server.address().getAddress(), server.address().getPort());
        s.setSoTimeout(20_000);
        clients.add(s);
        send(s, text);
        return s;
    }

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The head of the next answer. */
    private static String answer(Socket s) throws IOException {
        InputStream in = s.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            assertTrue(b >= 0, "ended after: " + head);
            head.append((char) b);
        }
        return head.toString();
    }

    /** All that comes to the end, which is an orderly one: a reset throws. */
    private static String rest(Socket s) throws IOException {
        return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Runs that on the I/O thread, and returns once it and what it put off have run. */
    private void onIo(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        io.run(() -> {
            task.run();
            io.afterReading(() -> done.complete(null));
        });
        done.get(20, TimeUnit.SECONDS);
    }

    private Socket resting() throws IOException {
        Socket s = client(GET);
        assertTrue(answer(s).startsWith("HTTP/1.1 200"));
        return s;
    }

    /** More than one read of Undertow's own close: what a client still sends is read, so that the end of it is no reset. */
    @Test
    void aRestingConnectionEndsInOrderThoughMuchCrosses() throws Exception {
        Socket s = resting();
        onIo(server::closeIdleConnections);
        send(s, GET + "x".repeat(100_000));
        send(s, GET);
        assertEquals("", rest(s), "nothing that is read after the end is answered");
        send(s, GET);
        s.close();
        onIo(() -> {});
        assertEquals(List.of(), List.copyOf(asked));
    }

    /** The request came before the close: it is served, and its connection stays. */
    @Test
    void aRequestThatLiesUnreadIsServedFirst() throws Exception {
        Socket s = resting();
        CompletableFuture<Void> sent = new CompletableFuture<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        io.run(
                () -> { // the I/O thread is here: it has not read the request when it is told to close
                    sent.join();
                    server.closeIdleConnections();
                    io.afterReading(() -> done.complete(null));
                });
        send(s, "GET /later HTTP/1.1\r\nHost: a\r\n\r\n");
        sent.complete(null);
        done.get(20, TimeUnit.SECONDS);
        HttpServer.Answerer to = asked.poll(20, TimeUnit.SECONDS);
        io.run(() -> to.answer(202, Map.of(), ""));
        assertTrue(answer(s).startsWith("HTTP/1.1 202"));
    }

    /** Half of a further request's head has come on a kept connection: it does not rest. */
    @Test
    void aHalfReadHeadIsNotClosedUpon() throws Exception {
        Socket s = resting();
        send(s, GET.substring(0, 20));
        onIo(() -> {}); // read by then
        onIo(server::closeIdleConnections);
        onIo(server::closeAllButActive);
        send(s, GET.substring(20));
        assertTrue(answer(s).startsWith("HTTP/1.1 200"));
    }

    /** The answer before an end gets through whatever the client sends at once behind its request. */
    @Test
    void anAnswerOutlivesAFlood() throws Exception {
        String flood =
                "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n" + "x".repeat(150_000);
        String huge = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n" + "x".repeat(150_000);
        String surplus = GET + GET + "x".repeat(150_000);
        String none = "GET /now HTTP/1.1\r\nHost: a\r\n" + "A".repeat(150_000); // Undertow itself refuses it
        for (String text : List.of(flood, huge, surplus, none, none, none, none)) {
            Socket s = client(text);
            assertEquals(
                    text.equals(huge) ? 413 : 400, Integer.parseInt(answer(s).substring(9, 12)));
            assertEquals("", rest(s));
            s.close();
        }
    }

    /** It is not waited for without a bound of bytes: the connection is closed over the rest. */
    @Test
    void anEndlessFloodIsCutOff() throws Exception {
        Socket s = client("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n");
        byte[] more = new byte[64 << 10];
        long sent = 0;
        try {
            while (sent < 64 << 20) {
                s.getOutputStream().write(more);
                sent += more.length;
            }
        } catch (IOException e) {
            return; // as it should
        }
        throw new AssertionError("still read after " + sent + " bytes");
    }

    /** With the bound reached a resting connection makes room and ends in order; where all are busy, the new one is answered. */
    @Test
    void noNewConnectionEndsWithoutAnAnswer() throws Exception {
        Socket idle = resting();
        List<Socket> busy = new ArrayList<>();
        List<HttpServer.Answerer> open = new ArrayList<>();
        for (int i = 0; i < MOST; i++) {
            busy.add(client("GET /later HTTP/1.1\r\nHost: a\r\n\r\n"));
            open.add(asked.poll(20, TimeUnit.SECONDS));
        }
        assertEquals("", rest(idle));
        for (int i = 0; i < 3 * MOST; i++) {
            Socket s = client(GET);
            String answer = answer(s);
            assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After: 1"), answer);
            assertEquals("", rest(s));
        }
        io.run(() -> open.forEach(to -> to.answer(200, Map.of(), "")));
        for (Socket s : busy) {
            assertTrue(answer(s).startsWith("HTTP/1.1 200"));
        }
    }

    /** The oldest of those that stand idle has half a head read: another makes room. */
    @Test
    void aHalfReadHeadDoesNotMakeRoom() throws Exception {
        Socket half = resting(), idle = resting();
        resting();
        send(half, GET.substring(0, 20));
        onIo(() -> {}); // read by then
        assertTrue(answer(client(GET)).startsWith("HTTP/1.1 200"));
        assertEquals("", rest(idle));
        send(half, GET.substring(20));
        assertTrue(answer(half).startsWith("HTTP/1.1 200"));
    }

    /** With the bound reached by connections that are all too new to be called silent, the oldest is told to come again. */
    @Test
    void whoMakesRoomBeforeItsFirstRequestIsAnswered() throws Exception {
        List<Socket> fresh = new ArrayList<>();
        for (int i = 0; i < MOST; i++) {
            fresh.add(client(""));
        }
        assertTrue(answer(client(GET)).startsWith("HTTP/1.1 200"));
        send(fresh.get(0), GET);
        String answer = answer(fresh.get(0));
        assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After: 1"), answer);
        assertEquals("", rest(fresh.get(0)));
    }

    /** At the very end one that has connected and sent nothing yet is told to come again, and one that asks is answered. */
    @Test
    void aFreshConnectionIsToldToComeAgainAtTheEnd() throws Exception {
        Socket fresh = client(""), busy = client("GET /later HTTP/1.1\r\nHost: a\r\n\r\n");
        HttpServer.Answerer to = asked.poll(20, TimeUnit.SECONDS);
        onIo(() -> server.closeAfterResponse(true));
        onIo(server::closeAllButActive);
        send(fresh, GET);
        assertTrue(answer(fresh).startsWith("HTTP/1.1 503"));
        assertEquals("", rest(fresh));
        io.run(() -> to.answer(202, Map.of(), ""));
        String last = answer(busy);
        assertTrue(last.startsWith("HTTP/1.1 202") && last.contains("Connection: close"), last);
        assertEquals("", rest(busy));
    }

    /** Small writes are not held back by the system, on either side: a reset would take them along. */
    @Test
    void noSideDelaysSmallWrites() throws Exception {
        resting();
        CompletableFuture<List<Boolean>> delayed = new CompletableFuture<>();
        EndpointConnectionPool connections = new EndpointConnectionPool(io, 1_000 * Clock.MS, 5, 1 << 10);
        EndpointAddress self = new EndpointAddress(
                "self",
                server.address().getAddress().getHostAddress() + ":"
                        + server.address().getPort());
        CompletableFuture<HttpResult> reply = new CompletableFuture<>();
        io.run(() -> connections.send(
                self,
                HttpRequest.get("/now"),
                io.clock.now() + 9_000 * Clock.MS,
                io.clock.now() + 9_000 * Clock.MS,
                reply::complete));
        assertEquals(200, reply.get(20, TimeUnit.SECONDS).code());
        onIo(() -> {
            try {
                List<Boolean> set = new ArrayList<>();
                for (org.xnio.StreamConnection c : server.clientConnections.byChannel.keySet()) {
                    set.add(c.getOption(Options.TCP_NODELAY));
                }
                set.add(connections.idle.get(self).peekLast().channel.getOption(Options.TCP_NODELAY));
                delayed.complete(set);
            } catch (IOException e) {
                delayed.completeExceptionally(e);
            }
        });
        assertEquals(List.of(true, true, true), delayed.get(20, TimeUnit.SECONDS));
    }
}
