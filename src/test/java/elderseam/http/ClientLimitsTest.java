package elderseam.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What a server at a limit does with new connections and requests, and with clients that have left. */
class ClientLimitsTest extends HttpServerHarness {
    private static final int OUTCOME_UNKNOWN = 504;
    private static final String LARGE_BODY_EXPECTED = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n";

    /** Guards against 503, a promise of no effect, where the server has not looked which request it turns away. */
    @Test
    void theStatusOfWhatIsTurnedAwayUnreadCanBeSet() throws Exception {
        server.setUnreadStatus(OUTCOME_UNKNOWN);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            connect(GET_ANSWERED_LATER);
            nextAnswerer();
        }
        assertOutcomeUnknown(connect(GET));
        runOnIoThread(server::closeConnections);
        Socket unread = connect("");
        awaitReading();
        runOnIoThread(server::closeAllButActive);
        assertOutcomeUnknown(unread);
    }

    /** The same for a request whose body would exceed the bound on bodies that are being read. */
    @Test
    void theStatusHoldsForABodyOverTheBoundToo() throws Exception {
        startServer(MAX_BODY_BYTES);
        server.setUnreadStatus(OUTCOME_UNKNOWN);
        connect(LARGE_BODY_EXPECTED);
        awaitReading();
        assertOutcomeUnknown(connect(LARGE_BODY_EXPECTED));
    }

    private static void assertOutcomeUnknown(Socket client) throws IOException {
        String head = readHead(client);
        assertStatus(OUTCOME_UNKNOWN, head);
        assertTrue(head.contains("Retry-After: 1"), head);
    }

    /** Guards against connections whose clients have given up taking the places of those that ask again. */
    @Test
    void aClientThatHasLeftMakesRoom() throws Exception {
        server.setUnreadStatus(OUTCOME_UNKNOWN);
        List<CompletableFuture<Void>> abandoned = new ArrayList<>();
        List<Socket> busy = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            busy.add(connect(GET_ANSWERED_LATER));
            CompletableFuture<Void> left = new CompletableFuture<>();
            abandoned.add(left);
            nextAnswerer().onAbandoned(() -> left.complete(null));
        }
        busy.get(0).close();
        busy.get(1).shutdownOutput();
        assertStatus(200, readHead(connect(GET)));
        abandoned.get(0).get(TIMEOUT_S, TimeUnit.SECONDS);
        abandoned.get(1).get(TIMEOUT_S, TimeUnit.SECONDS);
        assertOutcomeUnknown(busy.get(1)); // it may still read
        assertFalse(abandoned.get(2).isDone());
    }

    /** A client that has sent its next request early has not left, and no byte of that request is lost. */
    @Test
    void theLookForClientsThatHaveLeftLosesNoInput() throws Exception {
        server.setUnreadStatus(OUTCOME_UNKNOWN);
        List<Socket> busy = new ArrayList<>();
        List<HttpServer.Answerer> pending = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            busy.add(connect(GET_ANSWERED_LATER));
            pending.add(nextAnswerer());
            send(busy.get(i), GET);
        }
        assertOutcomeUnknown(connect(GET));
        assertOutcomeUnknown(connect(GET));
        io.run(() -> pending.forEach(answerer -> answerer.answer(202, Map.of(), "")));
        for (Socket client : busy) {
            assertStatus(202, readHead(client));
            assertStatus(200, readHead(client));
        }
    }
}
