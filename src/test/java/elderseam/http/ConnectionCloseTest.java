package elderseam.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.Clock;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * Closing of client connections: gracefully, with all input read, and not before a response that a client is waiting
 * for has been sent.
 */
class ConnectionCloseTest extends HttpServerHarness {
    private static final String TWO_LENGTHS =
            "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
    private static final String PART_OF_HEAD = GET.substring(0, 20);
    private static final String REST_OF_HEAD = GET.substring(20);
    private static final int STOP_ROUNDS = 20;

    /**
     * The client sends more than Undertow's own close would read. All of it must be read, since closing the socket with
     * unread input resets the connection.
     */
    @Test
    void closingAnIdleConnectionDuringALargeRequestCausesNoReset() throws Exception {
        Socket client = connectIdle();
        runOnIoThread(server::closeIdleConnections);
        send(client, GET + "x".repeat(100_000));
        send(client, GET);
        assertEnds(client, "input after the close is not answered");
        send(client, GET);
        client.close();
        awaitReading();
        assertEquals(List.of(), List.copyOf(answerers));
    }

    /** A request that arrived before the close is served on its connection. */
    @Test
    void aRequestThatIsStillUnreadAtTheCloseIsServed() throws Exception {
        Socket client = connectIdle();
        CompletableFuture<Void> sent = new CompletableFuture<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        io.run(() -> {
            sent.join(); // blocks the I/O thread, so that the request is still unread at the close
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

    /** A persistent connection on which a part of the next request head has arrived is not idle. */
    @Test
    void aConnectionWithAPartialHeadIsNotClosed() throws Exception {
        Socket client = connectIdle();
        send(client, PART_OF_HEAD);
        awaitReading();
        runOnIoThread(server::closeIdleConnections);
        runOnIoThread(server::closeAllButActive);
        send(client, REST_OF_HEAD);
        assertStatus(200, readHead(client));
    }

    /** The last response arrives even if the client sends a lot of data directly after its request. */
    @Test
    void theResponseArrivesDespiteSurplusInput() throws Exception {
        String surplus = "x".repeat(150_000);
        String tooLarge = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n" + surplus;
        String pipelined = GET + GET + surplus;
        String unparsable = "GET /now HTTP/1.1\r\nHost: a\r\n" + "A".repeat(150_000); // refused by Undertow's parser
        List<String> requests =
                List.of(TWO_LENGTHS + surplus, tooLarge, pipelined, unparsable, unparsable, unparsable, unparsable);
        for (String text : requests) {
            Socket client = connect(text);
            int expected = text.equals(tooLarge) ? 413 : 400;
            assertEquals(expected, Integer.parseInt(readHead(client).substring(9, 12)));
            assertEnds(client);
            client.close();
        }
    }

    /** The input discarded during a lingering close is limited: beyond the limit the connection is reset. */
    @Test
    void aClientThatNeverStopsSendingIsDisconnected() throws Exception {
        Socket client = connect(TWO_LENGTHS);
        byte[] surplus = new byte[64 << 10];
        assertThrows(
                IOException.class,
                () -> {
                    for (long sent = 0; sent < 64 << 20; sent += surplus.length) {
                        client.getOutputStream().write(surplus);
                    }
                },
                "the server read all input");
    }

    /**
     * At the connection limit, an idle connection is evicted and closed gracefully. If all connections are busy, the
     * new one gets a 503.
     */
    @Test
    void aNewConnectionAtTheLimitEvictsAnIdleOneOrIsRefused() throws Exception {
        Socket idle = connectIdle();
        List<Socket> busy = new ArrayList<>();
        List<HttpServer.Answerer> pending = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            busy.add(connect(GET_ANSWERED_LATER));
            pending.add(nextAnswerer());
        }
        assertEnds(idle);
        for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
            Socket overLimit = connect(GET);
            assertUnavailable(readHead(overLimit));
            assertEnds(overLimit);
        }
        io.run(() -> pending.forEach(answerer -> answerer.answer(200, Map.of(), "")));
        for (Socket client : busy) {
            assertStatus(200, readHead(client));
        }
    }

    /** The connection that was idle longest has received a partial head, so another one is evicted. */
    @Test
    void aConnectionWithAPartialHeadIsNotEvicted() throws Exception {
        Socket partialHead = connectIdle();
        Socket idle = connectIdle();
        connectIdle();
        send(partialHead, PART_OF_HEAD);
        awaitReading();
        assertStatus(200, readHead(connect(GET)));
        assertEnds(idle);
        send(partialHead, REST_OF_HEAD);
        assertStatus(200, readHead(partialHead));
    }

    /** At the limit, if all connections are too new to count as silent, the oldest gets a 503 with Retry-After. */
    @Test
    void aConnectionEvictedBeforeItsFirstRequestGetsAResponse() throws Exception {
        List<Socket> newConnections = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            newConnections.add(connect(""));
        }
        assertStatus(200, readHead(connect(GET)));
        Socket evicted = newConnections.get(0);
        send(evicted, GET);
        assertUnavailable(readHead(evicted));
        assertEnds(evicted);
    }

    /** At shutdown, a connection without any input yet gets a 503, and a pending request is answered. */
    @Test
    void aNewConnectionIsRefusedAtShutdown() throws Exception {
        Socket newConnection = connect("");
        Socket busy = connect(GET_ANSWERED_LATER);
        HttpServer.Answerer answerer = nextAnswerer();
        runOnIoThread(() -> server.closeAfterResponse(true));
        runOnIoThread(server::closeAllButActive);
        send(newConnection, GET);
        assertStatus(503, readHead(newConnection));
        assertEnds(newConnection);
        io.run(() -> answerer.answer(202, Map.of(), ""));
        String last = readHead(busy);
        assertStatus(202, last);
        assertTrue(last.contains("Connection: close"), last);
        assertEnds(busy);
    }

    /** TCP_NODELAY is set on both sides: small writes that the kernel delays would be lost with a reset. */
    @Test
    void bothSidesSetTcpNoDelay() throws Exception {
        connectIdle();
        EndpointConnectionPool pool = new EndpointConnectionPool(io, 1_000 * Clock.MILLISECOND_NS, 5, 1 << 10);
        EndpointAddress endpoint = new EndpointAddress(
                "self",
                server.address().getAddress().getHostAddress() + ":"
                        + server.address().getPort());
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        long deadline = io.clock.now() + 9_000 * Clock.MILLISECOND_NS;
        ExchangeListener listener = ExchangeListener.ofTrustedPeer(result::complete); // the connection stays open
        io.run(() -> pool.send(endpoint, HttpRequest.get("/now"), deadline, deadline, listener));
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
     * A connection established before the server stops accepting is accepted and answered. Guards against this failure:
     * XNIO accepts on a separate thread; if the socket was closed before that thread ran, the connection was reset
     * together with its request.
     */
    @Test
    void aConnectionEstablishedBeforeTheStopIsAnswered() throws Exception {
        for (int round = 0; round < STOP_ROUNDS; round++) {
            // on a new port: a process being forked by another test may have inherited the previous socket
            startServer();
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
