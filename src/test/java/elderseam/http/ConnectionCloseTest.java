package elderseam.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
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
import org.xnio.StreamConnection;

/**
 * How client connections end: in order, with nothing left unread, and none without a response that a client waits
 * for.
 */
class ConnectionCloseTest {
    private static final String GET = "GET /now HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String GET_ANSWERED_LATER = "GET /later HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String TWO_LENGTHS =
            "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
    private static final String PART_OF_HEAD = GET.substring(0, 20);
    private static final String REST_OF_HEAD = GET.substring(20);
    private static final byte[] OWN_LOOPBACK_ADDRESS = {127, 99, 0, 2};
    private static final int MAX_CONNECTIONS = 3;
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int MAX_BODY_BYTES_IN_TRANSIT = 1 << 20;
    private static final int TIMEOUT_S = 20;
    private static final int ROUNDS_OF_STOPS = 20;

    /** Of the requests for anything but /now, which is answered at once. */
    private final BlockingQueue<HttpServer.Answerer> answerers = new LinkedBlockingQueue<>();

    private final List<Socket> clients = new ArrayList<>();
    private IoLoop io;
    private HttpServer server;

    @BeforeEach
    void startServer() throws Exception {
        io = new IoLoop(new Clock());
        server = new HttpServer(
                io,
                new InetSocketAddress(InetAddress.getByAddress(OWN_LOOPBACK_ADDRESS), 0),
                MAX_BODY_BYTES,
                MAX_CONNECTIONS,
                MAX_BODY_BYTES_IN_TRANSIT,
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

    private void handle(HttpServer.Request request, HttpServer.Answerer answerer) {
        if (request.path().equals("/now")) {
            answerer.answer(200, Map.of(), "");
        } else {
            answerers.add(answerer);
        }
    }

    /** A client that connects and sends that text. */
    private Socket connect(String text) throws IOException {
        Socket client =
                new Socket(server.address().getAddress(), server.address().getPort());
        client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        clients.add(client);
        send(client, text);
        return client;
    }

    /** A client whose request was answered. */
    private Socket connectIdle() throws IOException {
        Socket client = connect(GET);
        assertStatus(200, readHead(client));
        return client;
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The head of the next response. */
    private static String readHead(Socket client) throws IOException {
        InputStream in = client.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int character = in.read();
            assertTrue(character >= 0, "ended after: " + head);
            head.append((char) character);
        }
        return head.toString();
    }

    private static void assertStatus(int code, String head) {
        assertTrue(head.startsWith("HTTP/1.1 " + code), head);
    }

    private static void assertRefusedForNow(String head) {
        assertStatus(503, head);
        assertTrue(head.contains("Retry-After: 1"), head);
    }

    /** The connection ends in order, which a reset does not, and without a further byte. */
    private static void assertEnds(Socket client, String message) throws IOException {
        String rest = new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertEquals("", rest, message);
    }

    private static void assertEnds(Socket client) throws IOException {
        assertEnds(client, "nothing follows the last response");
    }

    private HttpServer.Answerer nextAnswerer() throws InterruptedException {
        return answerers.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Runs a task on the I/O thread, and returns once it and what it put off have run. */
    private void runOnIoThread(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        io.run(() -> {
            task.run();
            io.afterReading(() -> done.complete(null));
        });
        done.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Returns once the server has read what was sent to it. */
    private void awaitReading() throws Exception {
        runOnIoThread(() -> {});
    }

    /**
     * More than one read of Undertow's own close: all that a client still sends is read, so that the end is no
     * reset.
     */
    @Test
    void anIdleConnectionEndsInOrderThoughMuchCrosses() throws Exception {
        Socket client = connectIdle();
        runOnIoThread(server::closeIdleConnections);
        send(client, GET + "x".repeat(100_000));
        send(client, GET);
        assertEnds(client, "nothing that is read after the end is answered");
        send(client, GET);
        client.close();
        awaitReading();
        assertEquals(List.of(), List.copyOf(answerers));
    }

    /** The request came before the close: it is served, and its connection stays. */
    @Test
    void aRequestThatLiesUnreadIsServedFirst() throws Exception {
        Socket client = connectIdle();
        CompletableFuture<Void> sent = new CompletableFuture<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        io.run(() -> {
            sent.join(); // the I/O thread waits here, and has not read the request when it is told to close
            server.closeIdleConnections();
            io.afterReading(() -> done.complete(null));
        });
        send(client, GET_ANSWERED_LATER);
        sent.complete(null);
        done.get(TIMEOUT_S, TimeUnit.SECONDS);
        HttpServer.Answerer answerer = nextAnswerer();
        io.run(() -> answerer.answer(202, Map.of(), ""));
        assertStatus(202, readHead(client));
    }

    /** A part of the next request's head has arrived on a kept connection: it is not idle. */
    @Test
    void aHalfReadHeadIsNotClosedUpon() throws Exception {
        Socket client = connectIdle();
        send(client, PART_OF_HEAD);
        awaitReading();
        runOnIoThread(server::closeIdleConnections);
        runOnIoThread(server::closeAllButActive);
        send(client, REST_OF_HEAD);
        assertStatus(200, readHead(client));
    }

    /** The last response arrives whatever the client sends at once behind its request. */
    @Test
    void aResponseOutlivesAFlood() throws Exception {
        String flood = "x".repeat(150_000);
        String tooLarge = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n" + flood;
        String pipelined = GET + GET + flood;
        String unparsable = "GET /now HTTP/1.1\r\nHost: a\r\n" + "A".repeat(150_000); // Undertow itself refuses it
        List<String> floods =
                List.of(TWO_LENGTHS + flood, tooLarge, pipelined, unparsable, unparsable, unparsable, unparsable);
        for (String text : floods) {
            Socket client = connect(text);
            int expected = text.equals(tooLarge) ? 413 : 400;
            assertEquals(expected, Integer.parseInt(readHead(client).substring(9, 12)));
            assertEnds(client);
            client.close();
        }
    }

    /** A client is not waited for without a bound of bytes: the connection is closed over the rest. */
    @Test
    void anEndlessFloodIsCutOff() throws Exception {
        Socket client = connect(TWO_LENGTHS);
        byte[] flood = new byte[64 << 10];
        assertThrows(
                IOException.class,
                () -> {
                    for (long sent = 0; sent < 64 << 20; sent += flood.length) {
                        client.getOutputStream().write(flood);
                    }
                },
                "all of it was read");
    }

    /**
     * At the bound an idle connection makes room and ends in order; where all are busy, the new one gets a
     * response.
     */
    @Test
    void noNewConnectionEndsWithoutAResponse() throws Exception {
        Socket idle = connectIdle();
        List<Socket> busy = new ArrayList<>();
        List<HttpServer.Answerer> pending = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            busy.add(connect(GET_ANSWERED_LATER));
            pending.add(nextAnswerer());
        }
        assertEnds(idle);
        for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
            Socket beyondBound = connect(GET);
            assertRefusedForNow(readHead(beyondBound));
            assertEnds(beyondBound);
        }
        io.run(() -> pending.forEach(answerer -> answerer.answer(200, Map.of(), "")));
        for (Socket client : busy) {
            assertStatus(200, readHead(client));
        }
    }

    /** The connection that was idle for longest has a part of a head: another makes room. */
    @Test
    void aHalfReadHeadDoesNotMakeRoom() throws Exception {
        Socket halfRead = connectIdle();
        Socket idle = connectIdle();
        connectIdle();
        send(halfRead, PART_OF_HEAD);
        awaitReading();
        assertStatus(200, readHead(connect(GET)));
        assertEnds(idle);
        send(halfRead, REST_OF_HEAD);
        assertStatus(200, readHead(halfRead));
    }

    /** At the bound, with connections that are all too new to be silent, the oldest is told to come again. */
    @Test
    void whoMakesRoomBeforeItsFirstRequestGetsAResponse() throws Exception {
        List<Socket> fresh = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            fresh.add(connect(""));
        }
        assertStatus(200, readHead(connect(GET)));
        Socket evicted = fresh.get(0);
        send(evicted, GET);
        assertRefusedForNow(readHead(evicted));
        assertEnds(evicted);
    }

    /** At the end, who has connected and sent nothing yet is told to come again, and who has asked is answered. */
    @Test
    void aFreshConnectionIsToldToComeAgainAtTheEnd() throws Exception {
        Socket fresh = connect("");
        Socket busy = connect(GET_ANSWERED_LATER);
        HttpServer.Answerer answerer = nextAnswerer();
        runOnIoThread(() -> server.closeAfterResponse(true));
        runOnIoThread(server::closeAllButActive);
        send(fresh, GET);
        assertStatus(503, readHead(fresh));
        assertEnds(fresh);
        io.run(() -> answerer.answer(202, Map.of(), ""));
        String last = readHead(busy);
        assertStatus(202, last);
        assertTrue(last.contains("Connection: close"), last);
        assertEnds(busy);
    }

    /** The kernel does not hold back small writes on either side: a reset would take them along. */
    @Test
    void noSideDelaysSmallWrites() throws Exception {
        connectIdle();
        EndpointConnectionPool pool = new EndpointConnectionPool(io, 1_000 * Clock.MILLISECOND_NS, 5, 1 << 10);
        EndpointAddress endpoint = new EndpointAddress(
                "self",
                server.address().getAddress().getHostAddress() + ":"
                        + server.address().getPort());
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        long deadline = io.clock.now() + 9_000 * Clock.MILLISECOND_NS;
        io.run(() -> pool.send(endpoint, HttpRequest.get("/now"), deadline, deadline, result::complete));
        assertEquals(200, result.get(TIMEOUT_S, TimeUnit.SECONDS).code());

        CompletableFuture<List<Boolean>> noDelay = new CompletableFuture<>();
        runOnIoThread(() -> {
            List<StreamConnection> channels = new ArrayList<>(server.clientConnections.byChannel.keySet());
            channels.add(pool.idle.get(endpoint).peekLast().channel);
            try {
                noDelay.complete(noDelayOf(channels));
            } catch (IOException e) {
                noDelay.completeExceptionally(e);
            }
        });
        assertEquals(List.of(true, true, true), noDelay.get(TIMEOUT_S, TimeUnit.SECONDS));
    }

    private static List<Boolean> noDelayOf(List<StreamConnection> channels) throws IOException {
        List<Boolean> values = new ArrayList<>();
        for (StreamConnection channel : channels) {
            values.add(channel.getOption(Options.TCP_NODELAY));
        }
        return values;
    }

    /**
     * Whoever has connected before the port closes is accepted and answered. What happened: XNIO accepts on a thread of
     * its own; where that had not run yet as the socket was closed, the connection was reset with its request.
     */
    @Test
    void whoHasConnectedBeforeTheStopIsAnswered() throws Exception {
        for (int round = 0; round < ROUNDS_OF_STOPS; round++) {
            startServer(); // at a port of its own: a process that another test just forks may hold the last one's
            // socket
            CompletableFuture<Socket> connected = new CompletableFuture<>();
            io.run(() -> {
                try {
                    Socket client = connect(GET);
                    server.stopAccepting();
                    connected.complete(client);
                } catch (IOException e) {
                    connected.completeExceptionally(e);
                }
            });
            assertStatus(200, readHead(connected.get(TIMEOUT_S, TimeUnit.SECONDS)));
        }
    }
}
