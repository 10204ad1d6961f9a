package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The second address: calls, figures, endpoints taken out of use, drain and return. */
class ControlTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 20000m;";

    @TempDir
    Path folder;

    /** Whatever comes is answered by one line, and callers that stall delay nobody, however many they are. */
    @Test
    void anyLineIsAnsweredBesideStalledCallers() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.start();
            List<Socket> stalled = new ArrayList<>();
            String[] at = s.front('o').split(":");
            for (int i = 0; i < 60; i++) { // more than may be open
                stalled.add(new Socket(at[0], Integer.parseInt(at[1])));
                stalled.get(i)
                        .getOutputStream()
                        .write(i % 2 == 0 ? "DETA".getBytes(StandardCharsets.US_ASCII) : new byte[0]);
            }
            s.run("""
                    operator ask PING -> 200
                    operator ask -> 400 the line is empty
                    operator ask PONG -> 400 unknown call
                    operator ask PING now -> 400 PING takes no words
                    operator ask DETACH -> 400 DETACH takes one id
                    operator ask DETACH h1 h2 -> 400 DETACH takes one id
                    operator ask DETACH never-listed -> 400 no endpoint
                    operator ask ATTACH never-listed -> 400 no endpoint
                    operator ask INFO -> 200; edge_relay.inflight=0; edge_relay.hosts_listed=2; edge_relay.hosts_down=0; EOF
                    """);
            assertTrue(s.told("x".repeat(1_000) + "\n").startsWith("400 the line is longer than"));
            assertTrue(s.told("INFO\r\nINFO\r\n").endsWith("EOF\n"));
            for (Socket one : stalled) {
                one.close();
            }
        }
    }

    private static String event(String id) {
        return "{\"specversion\":\"1.0\",\"type\":\"job-order\",\"source\":\"/s\",\"id\":\"" + id
                + "\",\"destination\":2}";
    }

    /** Each figure counts its event: delivered, refused, handed back, failed, called, avoided. */
    @Test
    void figuresCountWhatHappened() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.start();
            s.run("""
                    c send POST /status-update; {to} X-Txn: a
                    c expect 202
                    h1 expect a
                    h1 send 500
                    h1 expect a
                    h1 send 200
                    c send POST /rent-payment; {to} X-Txn: b
                    c expect 202
                    h1 expect b
                    h1 send 500
                    platform expect b; undeliverable
                    c send POST /status-update; {to2} X-Txn: c
                    c expect 503
                    c send POST /status-update; {to3} X-Txn: d
                    c expect 202
                    h1 expect d
                    h1 send 429; X-RateLimit-Wait-Ms: 60000
                    platform expect d; deferred
                    gone send POST /job-order; {to2} X-Txn: e
                    gone close
                    e1 send POST /events; Content-Type: application/cloudevents-batch+json | [{batch}]
                    h2 expect job-order
                    h2 send 200
                    h2 expect job-order
                    h2 send 200
                    e1 expect 207
                    """.replace("{to}", TO)
                    .replace("{to2}", TO.replace("dest=1", "dest=7"))
                    .replace("{to3}", TO.replace("20000m", "900m"))
                    .replace("{batch}", event("j1") + "," + event("j2")));
            assertEquals(
                    List.of(1L, 2L, 0L, 3L, 0L, 1L),
                    List.of(
                            s.figure("calls.status-update.success"),
                            s.figure("calls.status-update.busy"),
                            s.figure("calls.status-update.failure"),
                            s.figure("calls.status-update.backend_calls"),
                            s.figure("calls.rent-payment.success"),
                            s.figure("calls.rent-payment.failure")));
            assertEquals(
                    List.of(2L, 2L),
                    List.of(s.figure("calls.job-order.success"), s.figure("calls.job-order.backend_calls")));
            assertEquals(1, s.figure("hosts_down"), "h1 told a long wait");
            s.told("DETACH h2\n");
            assertEquals(2, s.figure("hosts_down"), "and h2 by hand");
        }
    }

    /** Out of use by hand: nothing new, whatever the list says, over a kill; open calls finish; one call lifts any number. */
    @Test
    void aDetachedEndpointGetsNothingUntilItIsAttached() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.start();
            s.run("""
                    c send POST /status-update; {to} X-Txn: a
                    c expect 202
                    h1 expect a
                    operator ask DETACH h1 -> 200
                    operator ask DETACH h1 -> 200
                    h1 send 200
                    c send POST /status-update; {to} X-Txn: b
                    c expect 202
                    platform send h1 SERVING
                    h1 wait quiet 300
                    operator ask INFO -> hosts_down=1; inflight=1
                    relay close kill
                    relay wait start
                    h1 wait quiet 300
                    operator ask INFO -> hosts_down=1; inflight=1
                    operator ask ATTACH h1 -> 200
                    h1 expect b
                    h1 send 200
                    operator ask ATTACH h1 -> 200
                    operator ask INFO -> hosts_down=0
                    """.replace("{to}", TO));
        }
    }

    /** A drain says no first, serves what still comes, closes what is kept, loses nothing and ends by REJOIN alone. */
    @Test
    void aDrainServesWhatComesAndIsTakenBack() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.start();
            s.run("""
                    kept send GET /health/ready
                    kept expect 200
                    c send POST /status-update; {to} X-Txn: a
                    c expect 202
                    h1 expect a
                    operator ask LAMEDUCK -> 200 draining
                    operator ask LAMEDUCK -> 200
                    operator ask PING -> 200
                    c send POST /status-update; {to} X-Txn: b
                    c expect 202; Connection: close
                    c wait closed
                    late send GET /health/ready
                    late expect 503; Connection: close
                    kept wait closed 3000
                    h1 send 200
                    h1 expect b
                    h1 send 200
                    operator ask REJOIN -> 200 ready
                    operator ask REJOIN -> 200 ready
                    d send GET /health/ready
                    d expect 200
                    operator ask LAMEDUCK -> 200
                    relay close term
                    relay wait exit 0
                    """.replace("{to}", TO));
            assertTrue(s.told().isEmpty());
        }
    }

    /** Without the setting nothing listens. */
    @Test
    void withoutTheSettingThereIsNone() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.withoutControl();
            s.start();
            assertEquals(false, s.listens('o'));
        }
    }
}
