package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.handover.HandoverChannel;
import elderseam.handover.HandoverFrame;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program started beside itself: two processes, one dispatcher. */
class HandoverScenarioTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 20000m;";

    @TempDir
    Path folder;

    /** Plays that script on a program of its own. */
    private void plays(String script) throws Exception {
        try (Scenario s = started()) {
            s.run(script.replace("{to}", TO));
        }
    }

    private Scenario started() throws Exception {
        Scenario s = new Scenario(folder);
        s.launcher().useFixedAddress();
        s.start();
        return s;
    }

    /** A call that is out ends at the older process and counts at the newer: nothing is out twice, a once-only message not lost. */
    @Test
    void callsThatAreOutEndOnce() throws Exception {
        try (Scenario s = started()) {
            s.run("""
                    c send POST /rent-payment; {to} X-Txn: pay
                    c expect 202
                    h1 expect pay
                    relay wait beside
                    operator ask PING -> 200
                    h1 wait quiet 200
                    d send POST /status-update; {to} X-Txn: say
                    d expect 202
                    h1 send 200
                    h1 expect say
                    h1 send 200
                    older wait exit 0
                    platform wait quiet 100
                    """.replace("{to}", TO));
            assertEquals(1, s.infoValue("calls.rent-payment.success"));
            assertEquals(1, s.infoValue("calls.status-update.backend_calls"));
            assertEquals(0, s.infoValue("inflight"));
        }
    }

    /** What clients still send on connections to the older process is answered by the newer one; told waits and bans hold there. */
    @Test
    void whatWasLearnedGoesAlongAndKeptConnectionsAreServed() throws Exception {
        plays("""
                c send POST /status-update; {to} X-Txn: a
                c expect 202
                h1 expect a
                h1 send 429; X-RateLimit-Wait-Ms: 60000
                operator ask DETACH h2 -> 200
                h1 wait quiet 100
                relay wait beside
                c send POST /status-update; {to} X-Txn: b
                c expect 202
                c wait closed
                operator ask INFO -> inflight=2; hosts_listed=2; hosts_down=2
                h1 wait quiet 500
                older close term
                older wait exit 0
                """);
    }

    /** The older process is killed with a call out: it may have run, so a once-only message has failed, and another goes again. */
    @Test
    void aKillOfTheOlderLeavesItsCallsUnsure() throws Exception {
        plays("""
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 202
                h1 expect pay
                c send POST /status-update; {to} X-Txn: say
                c expect 202
                h1 expect say
                relay wait beside
                older close kill
                platform expect pay; undeliverable
                h1 expect say
                h1 send 200
                """);
    }

    /** Twice in a row, and the first process's drain by hand goes along. */
    @Test
    void twoInARow() throws Exception {
        plays("""
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 202
                h1 expect pay
                operator ask LAMEDUCK -> 200
                relay wait beside
                operator ask PING -> 200 drain
                operator ask REJOIN -> 200 ready
                relay wait beside
                h1 wait quiet 200
                h1 send 200
                platform wait quiet 300
                d send GET /health/ready
                d expect 200
                """);
    }

    /** One that asks, is given all and dies before it owns: the older process goes on as it was, with what it heard meanwhile. */
    @Test
    void aNewerProcessThatFailsGivesTheWorkBack() throws Exception {
        try (Scenario s = started()) {
            s.run("""
                    c send POST /rent-payment; {to} X-Txn: pay
                    c expect 202
                    h1 expect pay
                    """.replace("{to}", TO));
            HandoverChannel channel = s.requestTransfer();
            assertTrue(channel.receive().orElseThrow() instanceof HandoverFrame.StateTransfer transfer
                    && transfer.state().inFlight().size() == 1);
            s.run("""
                    h1 send 200
                    c send POST /status-update; {to} X-Txn: say
                    """.replace("{to}", TO));
            assertTrue(channel.receive().orElseThrow() instanceof HandoverFrame.AttemptCompletion);
            channel.close();
            s.run("""
                    c expect 202
                    h1 expect say
                    h1 send 200
                    d send GET /health/ready
                    d expect 200
                    platform wait quiet 100
                    relay close kill
                    relay wait start
                    h1 wait quiet 200
                    """);
        }
    }

    /** What a dead process left on disk hinders nobody. */
    @Test
    void aStaleSocketAndHalfAFileAreNothing() throws Exception {
        Files.createDirectories(folder.resolve("state"));
        ServerSocketChannel.open(StandardProtocolFamily.UNIX)
                .bind(UnixDomainSocketAddress.of(folder.resolve("state/handover")))
                .close();
        Files.writeString(folder.resolve("state/journal.new"), "half");
        plays("""
                operator ask PING -> 200
                relay wait beside
                operator ask PING -> 200
                """);
    }
}
