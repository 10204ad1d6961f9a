package elderseam.scenario;

import static elderseam.scenario.Scenario.play;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a restart keeps: SIGTERM, SIGKILL, a torn journal, a full one. */
class RestartTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 20000m;";

    @TempDir
    Path folder;

    /** Killed with calls out: a repeatable message goes again, a once-only one that may have run is ended. */
    @Test
    void afterAKillOnlyWhatMayBeRepeatedGoesAgain() throws Exception {
        play(folder, """
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 202
                h1 expect pay
                c send POST /status-update; {to} X-Txn: say
                c expect 202
                h1 expect say
                relay close kill
                relay wait start
                platform expect pay; undeliverable
                h1 expect say
                h1 send 200
                h1 wait quiet 300
                """.replace("{to}", TO));
    }

    /** A once-only message that never left is still owed its delivery. */
    @Test
    void afterAKillWhatNeverRanIsDelivered() throws Exception {
        play(folder, """
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 202
                h1 expect pay
                h1 send 429; X-RateLimit-Wait-Ms: 900
                h1 wait quiet 200
                relay close kill
                relay wait start
                h1 expect pay
                h1 send 200
                platform wait quiet 200
                """.replace("{to}", TO));
    }

    /** A notice that was never acknowledged is told by the next process. */
    @Test
    void anUnheardNoticeOutlastsAKill() throws Exception {
        play(folder, """
                platform deaf 1000
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 202
                h1 expect pay
                h1 close
                platform wait quiet 300
                relay close kill
                platform deaf 0
                relay wait start
                platform expect pay; undeliverable
                """.replace("{to}", TO));
    }

    /** SIGTERM: what is read is answered, what is out is settled, and the exit is 0. */
    @Test
    void aPlannedRestartSettlesWhatIsOut() throws Exception {
        play(folder, """
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 202
                h1 expect pay
                relay close term
                relay wait drain
                c2 send POST /status-update; {to} X-Txn: late
                c2 expect 202; Connection: close
                c2 wait closed
                c3 send GET /health/ready
                c3 expect 503
                h1 send 200
                h1 expect late
                h1 send 200
                relay wait exit 0
                platform wait quiet 10
                """.replace("{to}", TO));
    }

    /** A torn tail is cut off; what stands before it counts. */
    @Test
    void aTornTailIsTolerated() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.start();
            s.run("""
                    c send POST /status-update; {to} X-Txn: say
                    c expect 202
                    h1 expect say
                    relay close kill
                    """.replace("{to}", TO));
            Files.write(
                    s.launcher().stateFolder().resolve("journal"),
                    new byte[] {0, 0, 0, 90, 1, 2, 3, 4, 5},
                    StandardOpenOption.APPEND);
            s.run("""
                    relay wait start
                    h1 expect say
                    h1 send 200
                    """);
        }
    }

    /** A full journal refuses what is new with a time to come back, keeps under its cap, and serves on. */
    @Test
    void aFullJournalRefusesAndRecovers() throws Exception {
        try (Scenario s = new Scenario(folder, 1)) {
            s.start();
            s.run("h1 close all\nh2 close all");
            StringBuilder script = new StringBuilder();
            for (int i = 0; i < 12; i++) {
                script.append("c send POST /status-update; X-Addressing: dest=1; X-Remaining: 4000m; X-Txn: a" + i
                        + " | {64K}\nc expect " + (i < 7 ? "202" : "503; Retry-After") + "\n");
            }
            s.run(script + "c send GET /health/ready\nc expect 200\nplatform expect deferred\n");
            try (Stream<Path> files = Files.list(s.launcher().stateFolder())) {
                assertTrue(files.mapToLong(f -> f.toFile().length()).sum() <= 1_000_000);
            }
            s.run("platform expect deferred\n".repeat(6) + """
                    c send POST /status-update; X-Addressing: dest=1; X-Remaining: 4000m; X-Txn: b | {64K}
                    c expect 202
                    """);
        }
    }
}
