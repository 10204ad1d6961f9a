package elderseam.scenario;

import static elderseam.scenario.Scenario.play;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How connections to upstream hosts end, and what that says of the request on them, by PROTOCOL. SpoiltTest has answers that do not fit. */
class EndpointConnectionEndTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 20000m;";
    private static final String OUT =
            "c send POST /rent-payment; " + TO + " X-Txn: pay\nc expect 202\nh1 expect X-Txn: pay\n";

    /** A connection is kept, and the process stands still. */
    private static final String KEPT = """
            c send POST /status-update; {to} X-Txn: first
            c expect 202
            h1 expect X-Txn: first
            h1 send 200
            operator wait INFO -> status-update.success=1
            relay pause
            """;

    @TempDir
    Path folder;

    private void plays(String script) throws Exception {
        play(folder, script.replace("{out}", OUT).replace("{kept}", KEPT).replace("{to}", TO));
    }

    /** Part of an answer, and then an end, in order or by a reset: it may have run. Once only it ends, repeatable it goes again. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 50",
                "HTTP/1.1 503 x\\r\\nContent-Le",
                "HTTP/1.1 503 x\\r\\nContent-Length: 9\\r\\n\\r\\nshort",
                "HTTP/1.1 503 x\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n5\\r\\nsho"
            })
    void anAnswerThatBreaksOffMayHaveRun(String part) throws Exception {
        for (String end : List.of("end", "close")) {
            plays("""
                    c send POST /rent-payment; {to} X-Txn: pay-{end}
                    c expect 202
                    h1 expect X-Txn: pay-{end}
                    h1 raw {part}
                    h1 {end}
                    platform expect pay-{end}; undeliverable
                    c send POST /status-update; {to} X-Txn: say-{end}
                    c expect 202
                    h1 expect X-Txn: say-{end}
                    h1 raw {part}
                    h1 {end}
                    h1 expect X-Txn: say-{end}
                    h1 send 200
                    operator wait INFO -> status-update.success=1
                    """.replace("{part}", part).replace("{end}", end));
        }
    }

    /** A first line with 200 has been written: it is delivered, though the body breaks off. */
    @ParameterizedTest
    @ValueSource(strings = {"end", "close"})
    void aDeliveryStandsThoughItsBodyBreaksOff(String end) throws Exception {
        plays("""
                {out}
                h1 raw HTTP/1.1 200 OK\\r\\nContent-Length: 9\\r\\n\\r\\nshort
                h1 {end}
                operator wait INFO -> rent-payment.success=1
                """.replace("{end}", end));
    }

    /** Reset long after it was written, with other traffic between: it may have run, and only it. */
    @Test
    void aResetLongAfterConcernsItsOwnRequestAlone() throws Exception {
        plays("""
                {out}
                c send POST /status-update; X-Org: erongo-lettings; X-Addressing: dest=2; X-Remaining: 9000m; X-Txn: a
                c expect 202
                h2 expect X-Txn: a
                h2 send 200
                c send POST /status-update; X-Org: erongo-lettings; X-Addressing: dest=2; X-Remaining: 9000m; X-Txn: b
                c expect 202
                h2 expect X-Txn: b
                h1 close
                platform expect pay; undeliverable
                h2 send 200
                operator wait INFO -> status-update.success=2
                """);
    }

    /** The kept connection is reset while the process stands still, and a message comes: it leaves on a new one, once. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "end"})
    void aStalePooledConnectionIsNotWrittenTo(String end) throws Exception {
        plays("""
                {kept}
                h1 {end}
                c send POST /rent-payment; {to} X-Txn: pay
                relay resume
                c expect 202
                h1 expect X-Txn: pay
                h1 send 200
                operator wait INFO -> rent-payment.success=1
                """.replace("{end}", end));
    }

    /** Noise, or half a line, on a connection that stands idle: it is used no more, and nothing is taken for an answer. */
    @Test
    void halfALineOnAnIdleConnectionIsNoAnswer() throws Exception {
        plays("""
                {kept}
                h1 raw HTTP/1.1 200 OK\\r\\nContent-
                c send POST /rent-payment; {to} X-Txn: pay
                relay resume
                c expect 202
                h1 expect X-Txn: pay
                h1 send 500
                platform expect pay; undeliverable
                """);
    }

    /**
     * A host whose queue of connections is full lets none in; the system asks again after a second, and by then there is room: the
     * connection comes up late, in the time for it, and the request leaves once.
     */
    @Test
    void aLateConnectionIsWaitedFor() throws Exception {
        try (Scenario s = new Scenario(folder);
                ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.99.0.3"))) {
            List<Socket> fill = new ArrayList<>();
            for (int i = 0; i < 2; i++) { // one more than the backlog says
                fill.add(new Socket(full.getInetAddress(), full.getLocalPort()));
            }
            s.setEndpointServer("h3", full);
            s.start();
            s.run("platform send h1 DRAINING\nplatform send h3 SERVING\noperator wait INFO -> hosts_listed=3\n"
                    + "c send POST /rent-payment; {to} X-Txn: pay\nc expect 202\n".replace("{to}", TO));
            long last = System.nanoTime() + RawHttpSocket.PATIENCE_S * 1_000_000_000L;
            while (!asks(full.getLocalPort())) {
                assertTrue(System.nanoTime() < last, "no connection is asked for");
            }
            for (Socket f : fill) {
                full.accept().close();
                f.close();
            }
            try (Socket late = full.accept()) {
                late.setSoTimeout(20_000);
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    head.append((char) late.getInputStream().read());
                }
                assertTrue(head.indexOf("X-Txn: pay") > 0, head.toString());
                late.getOutputStream().write(RawHttpSocket.answer(200, "", "").getBytes(StandardCharsets.US_ASCII));
                s.run("operator wait INFO -> rent-payment.success=1\n");
            }
        }
    }

    /** Whether a connection to that port is being asked for (SYN_SENT, by the system's table). */
    private static boolean asks(int port) throws IOException {
        String there = ":%04X 02 ".formatted(port);
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) { // the program's sockets speak both
            if (Files.readAllLines(Path.of(table)).stream().anyMatch(l -> l.contains(there))) {
                return true;
            }
        }
        return false;
    }
}
