package elderseam.scenario;

import static elderseam.scenario.Scenario.play;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.Journal;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients that leave, flood, or take nothing; and a start on a full folder. GuardTest has what is no request at all. */
class ClientConnectionEndTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 20000m;";

    @TempDir
    Path folder;

    /** It leaves with its request in the socket, and hands it in again: one stream, one call, one end. */
    @Test
    void aClientThatLeavesAndComesAgainIsServedOnce() throws Exception {
        play(folder, """
                c send GET /health/ready
                c expect 200
                relay pause
                c send POST /rent-payment; {to} X-Txn: pay
                c end
                c2 send POST /rent-payment; {to} X-Txn: pay; X-Resent: 1
                relay resume
                c expect 202
                c2 expect 202
                h1 expect X-Txn: pay
                c close
                h1 send 200
                operator wait INFO -> rent-payment.success=1
                c3 send POST /rent-payment; {to} X-Txn: pay; X-Resent: again
                c3 expect 200
                c3 send POST /rent-payment; {to} X-Txn: next
                c3 expect 202
                h1 expect X-Txn: next
                """.replace("{to}", TO));
    }

    /** Much at once, and gone, over and over: memory stays where it was, and others are served. */
    @Test
    void floodsThatGoLeaveNothing() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.start();
            String flood =
                    "raw POST /rent-payment HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 65536\\r\\nContent-Length: 1\\r\\n\\r\\n{64K}{64K}{64K}\n";
            StringBuilder once = new StringBuilder();
            for (int i = 0; i < 30; i++) {
                once.append("c")
                        .append(i)
                        .append(" ")
                        .append(flood)
                        .append("c")
                        .append(i)
                        .append(" close\n");
            }
            s.run(once.toString());
            s.run("c send GET /health/ready\nc expect 200\n");
            long before = s.program().residentKilobytes();
            for (int i = 0; i < 10; i++) {
                s.run(once.toString());
            }
            s.run("d send GET /health/ready\nd expect 200\n");
            assertTrue(
                    s.program().residentKilobytes() - before < 24_000,
                    before + " kB, then " + s.program().residentKilobytes());
        }
    }

    /** They ask and take no answer, as many as may connect: each has its answer in its socket, and a new one is served. */
    @Test
    void clientsThatTakeNoAnswerHoldNobodyUp() throws Exception {
        StringBuilder script = new StringBuilder();
        for (int i = 0; i < 130; i++) {
            script.append("s").append(i).append(" send POST /nonsense; X-Txn: a\n");
        }
        play(
                folder,
                script
                        + "c send POST /rent-payment; {to} X-Txn: pay\nc expect 202\nh1 expect pay\nh1 send 200\n"
                                .replace("{to}", TO));
    }

    /** A body that comes byte by byte is taken while its time lasts, and is cut off after it. */
    @Test
    void aSlowWriterIsCutOff() throws Exception {
        String head =
                "c raw POST /rent-payment HTTP/1.1\\r\\nHost: a\\r\\nX-Org: erongo-lettings\\r\\nX-Addressing: dest=1\\r\\n"
                        + "X-Remaining: 9000m\\r\\nX-Txn: slow\\r\\nContent-Length: 3\\r\\n\\r\\n";
        play(
                folder,
                head + "x\nc raw x\nc wait ended\n" + head.replace("c raw", "d raw")
                        + "x\nd raw x\nd raw x\nd expect 202\nh1 expect X-Txn: slow\n");
    }

    /** The folder holds as much as it may, all of it taken on and never tried: ready in time, and each of it is tried. */
    @Test
    void aFullFolderIsTakenBackAndAllOfItTried() throws Exception {
        int most = 300;
        Clock clock = new Clock();
        try (Scenario s = new Scenario(folder)) {
            s.launcher()
                    .setSettings(DispatcherLauncher.defaultSettings()
                            .replace("\"mostHeld\":64", "\"mostHeld\":" + most)
                            .replace("\"quotaPerS\":100.0", "\"quotaPerS\":1000.0"));
            int taken = 0;
            try (Journal journal = new Journal(s.launcher().stateFolder(), 3_000_000, clock)) {
                long by = clock.now() + 60_000 * Clock.MILLISECOND_NS;
                while (taken < most - most / 16 - 1
                        && journal.accepted(new ActiveRequest.Message(
                                "m" + taken,
                                (byte) 0,
                                taken % 3,
                                0,
                                1,
                                by,
                                by,
                                false,
                                true,
                                "k" + taken,
                                new byte[4_500]))) {
                    taken++;
                }
            }
            assertTrue(taken > 200, taken + " fit");
            long start = System.nanoTime();
            s.start();
            assertTrue(System.nanoTime() - start < 10_000_000_000L, "ready after 10 s");
            s.run("h1 expect X-Txn: m\nh1 send 200\n".repeat(taken));
            assertEquals(0, s.notifications().size(), "given up");
        }
    }
}
