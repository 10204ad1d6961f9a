package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The control address: commands, metrics, drained endpoints, the drain of the process and its end. */
class ControlTest {
    private static final String REQUEST_HEADERS = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 20000m;";

    /** More than may be connected at once. */
    private static final int STALLED_CLIENTS = 60;

    @TempDir
    Path folder;

    /** Every line gets a response, while more clients than may be connected have sent half a line or nothing. */
    @Test
    void everyLineIsAnsweredBesideStalledClients() throws Exception {
        try (Scenario scenario = new Scenario(folder)) {
            scenario.start();
            List<Socket> stalled = new ArrayList<>();
            String[] address = scenario.controlAddress().split(":");
            for (int i = 0; i < STALLED_CLIENTS; i++) {
                stalled.add(new Socket(address[0], Integer.parseInt(address[1])));
                stalled.get(i)
                        .getOutputStream()
                        .write(i % 2 == 0 ? "DETA".getBytes(StandardCharsets.US_ASCII) : new byte[0]);
            }
            scenario.run("""
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
            assertTrue(scenario.control("x".repeat(1_000) + "\n").startsWith("400 the line is longer than"));
            assertTrue(scenario.control("INFO\r\nINFO\r\n").endsWith("EOF\n"));
            for (Socket client : stalled) {
                client.close();
            }
        }
    }

    private static String event(String id) {
        return "{\"specversion\":\"1.0\",\"type\":\"job-order\",\"source\":\"/s\",\"id\":\"" + id
                + "\",\"destination\":2}";
    }

    /** Each metric counts its event: delivered, rejected, deferred, failed, attempted, drained. */
    @Test
    void metricsCountWhatHappened() throws Exception {
        try (Scenario scenario = new Scenario(folder)) {
            scenario.start();
            scenario.run("""
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
                    """.replace("{to}", REQUEST_HEADERS)
                    .replace("{to2}", REQUEST_HEADERS.replace("dest=1", "dest=7"))
                    .replace("{to3}", REQUEST_HEADERS.replace("20000m", "900m"))
                    .replace("{batch}", event("j1") + "," + event("j2")));
            assertEquals(
                    List.of(1L, 2L, 0L, 3L, 0L, 1L),
                    List.of(
                            scenario.infoValue("calls.status-update.success"),
                            scenario.infoValue("calls.status-update.busy"),
                            scenario.infoValue("calls.status-update.failure"),
                            scenario.infoValue("calls.status-update.backend_calls"),
                            scenario.infoValue("calls.rent-payment.success"),
                            scenario.infoValue("calls.rent-payment.failure")));
            assertEquals(
                    List.of(2L, 2L),
                    List.of(
                            scenario.infoValue("calls.job-order.success"),
                            scenario.infoValue("calls.job-order.backend_calls")));
            assertEquals(1, scenario.infoValue("hosts_down"), "h1 asked for a long wait");
            scenario.control("DETACH h2\n");
            assertEquals(2, scenario.infoValue("hosts_down"), "and h2 is detached");
        }
    }

    /** A detached endpoint gets no new request, whatever the list says and after a kill; attempts in flight end; one ATTACH undoes any number. */
    @Test
    void aDetachedEndpointGetsNothingUntilItIsAttached() throws Exception {
        try (Scenario scenario = new Scenario(folder)) {
            scenario.start();
            scenario.run("""
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
                    """.replace("{to}", REQUEST_HEADERS));
        }
    }

    /** A draining process is not ready, still serves requests, closes idle connections, loses nothing, and is ready again after REJOIN only. */
    @Test
    void aDrainServesRequestsAndEndsWithRejoin() throws Exception {
        try (Scenario scenario = new Scenario(folder)) {
            scenario.start();
            scenario.run("""
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
                    """.replace("{to}", REQUEST_HEADERS));
            assertTrue(scenario.notifications().isEmpty());
        }
    }

    /** Without RELAY_CONTROL nothing listens. */
    @Test
    void withoutTheVariableThereIsNoControlAddress() throws Exception {
        try (Scenario scenario = new Scenario(folder)) {
            scenario.launcher().withoutControl();
            scenario.start();
            assertFalse(scenario.program().hasReached(DispatcherProcess.Milestone.CONTROL_LISTENING));
        }
    }
}
