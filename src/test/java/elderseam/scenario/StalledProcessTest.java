package elderseam.scenario;

import static elderseam.scenario.Scenario.play;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.FinalOutcome;
import elderseam.core.Journal;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/** What must hold when the process is late: starved, suspended, or just back with much to take back. */
@Isolated("one of its tests takes every core")
class StalledProcessTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 20000m;";

    @TempDir
    Path folder;

    /** The answer crosses the giving-up: our side had only ended its sending, and reads the wait. */
    @Test
    void aWaitThatCrossesAGivingUpIsHeeded() throws Exception {
        play(folder, """
                c send POST /rent-payment; X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 500m; X-Txn: a
                c expect 202
                h1 expect X-Txn: a
                h1 wait closed
                h1 send 429; X-RateLimit-Wait-Ms: 1500
                platform expect a; undeliverable
                c send POST /status-update; {to} X-Txn: b
                c expect 202
                h1 wait quiet 1000
                h1 expect X-Txn: b
                h1 send 200
                """.replace("{to}", TO));
    }

    /** A client that the process could not hear during a stall is not closed on for its silence when that ends. */
    @Test
    void aDrainWaitsForClientsAfterAStall() throws Exception {
        play(folder, """
                c send GET /health/ready
                c expect 200
                operator ask LAMEDUCK -> 200 draining
                relay pause
                h1 wait quiet 1000
                relay resume
                operator wait PING -> 200
                c send POST /status-update; {to} X-Txn: a
                c expect 202; Connection: close
                """.replace("{to}", TO));
    }

    /** A new client that the process could not hear during a stall does not give way to a crowd for its silence. */
    @Test
    void aClientThatCameBeforeAStallOutlivesACrowd() throws Exception {
        StringBuilder kept = new StringBuilder();
        StringBuilder crowd = new StringBuilder();
        for (int i = 0; i < 100; i++) {
            kept.append("s%1$d send GET /health/ready\ns%1$d expect 200\n".formatted(i));
            crowd.append("t%d send GET /health/ready\n".formatted(i));
        }
        play(folder, """
                {kept}
                c raw
                operator wait PING -> 200
                relay pause
                h1 wait quiet 1200
                {crowd}
                relay resume
                t99 expect 200
                c send POST /status-update; {to} X-Txn: a
                c expect 202
                """.replace("{kept}", kept.toString().strip())
                .replace("{crowd}", crowd.toString().strip())
                .replace("{to}", TO));
    }

    /** Messages and a wait arrive while the process stands still: whatever it reads first, the wait counts first. */
    @Test
    void aWaitThatArrivesInAPauseIsReadBeforeAnythingIsSent() throws Exception {
        StringBuilder open = new StringBuilder();
        StringBuilder send = new StringBuilder();
        StringBuilder taken = new StringBuilder();
        for (int i = 0; i < 10; i++) { // in which order sockets are read is chance
            open.append("c%1$d send GET /health/ready\nc%1$d expect 200\n".formatted(i));
            send.append("c%1$d send POST /status-update; %2$s X-Txn: b%1$d\n".formatted(i, TO));
            taken.append("c%d expect 202\n".formatted(i));
        }
        play(folder, """
                c send POST /rent-payment; {to} X-Txn: a
                c expect 202
                h1 expect X-Txn: a
                {open}
                relay pause
                {send}
                h1 wait quiet 200
                h1 send 429; X-RateLimit-Wait-Ms: 1500
                relay resume
                {taken}
                h1 wait quiet 1000
                h1 expect X-Txn
                """.replace("{to}", TO)
                .replace("{open}", open)
                .replace("{send}", send)
                .replace("{taken}", taken));
    }

    /** Guards against a message that runs although its client had left before it was read, and submitted it elsewhere. */
    @Test
    void aMessageWhoseClientLeftDuringAStallIsNotTakenOn() throws Exception {
        play(folder, """
                c send POST /rent-payment; {to} X-Txn: known
                c expect 202
                h1 expect X-Txn: known
                h1 send 200
                platform wait quiet 200
                reset send GET /health/ready
                reset expect 200
                fin send GET /health/ready
                fin expect 200
                relay pause
                reset send POST /rent-payment; {to} X-Txn: a
                reset close
                fin send POST /rent-payment; {to} X-Txn: b
                fin end
                c send POST /rent-payment; {to} X-Txn: known
                c end
                d send POST /rent-payment; {to} X-Txn: d
                h1 wait quiet 300
                relay resume
                fin expect 503; Retry-After
                c expect 200
                d expect 202
                h1 expect X-Txn: d
                h1 send 200
                h1 wait quiet 700
                """.replace("{to}", TO));
    }

    /** A health check that ends its sending side is answered all the same. */
    @Test
    void aHealthCheckThatHalfClosesIsAnswered() throws Exception {
        play(folder, """
                c raw GET /health/ready HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n
                c end
                c expect 200
                """);
    }

    /** A pause longer than any call may take: the answer that lies in the socket counts, not the timer. */
    @Test
    void anAnswerReadAfterItsTimeOutStillCounts() throws Exception {
        play(folder, """
                c send POST /rent-payment; X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 900m; X-Txn: a
                c expect 202
                h1 expect X-Txn: a
                relay pause
                h1 send 200
                h1 wait quiet 1200
                relay resume
                platform wait quiet 300
                c send POST /rent-payment; {to} X-Txn: a
                c expect 200
                """.replace("{to}", TO));
    }

    /** Every other descriptor is taken, downstream and upstream: a notice is told all the same. */
    @Test
    void noticesHaveTheirOwnRoom() throws Exception {
        StringBuilder script = new StringBuilder("""
                c send POST /rent-payment; X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 2500m; X-Txn: a
                c expect 202
                h1 expect X-Txn: a
                """);
        for (int i = 0; i < 400; i++) {
            script.append("s").append(i).append(" raw\n");
        }
        play(folder, script + "platform expect a; undeliverable\n");
    }

    /** What the earlier process left: 700 messages, in each state a message can be in, half of them due or over. */
    private List<List<String>> left(Path state) throws Exception {
        Clock clock = new Clock();
        List<String> over = new ArrayList<>();
        List<String> owed = new ArrayList<>();
        try (Journal journal = new Journal(state, 3_000_000, clock)) {
            for (int i = 0; i < 700; i++) {
                String id = "m" + i;
                boolean due = i % 2 == 0;
                long by = clock.now() + (due ? -1_000 + i : 20_000) * Clock.MILLISECOND_NS;
                ActiveRequest.Message m = new ActiveRequest.Message(
                        id, (byte) 0, i % 3, 0, 1, by, by, false, true, "k" + i, new byte[200]);
                assertTrue(journal.accepted(m));
                if (i % 5 == 1) {
                    journal.completed(
                            m,
                            i % 4 == 1 ? FinalOutcome.FAILED : FinalOutcome.rejected(500 * Clock.MILLISECOND_NS),
                            true);
                    owed.add(id);
                    continue;
                }
                if (i % 5 > 1) {
                    journal.attemptBegins(id);
                    if (i % 5 > 2) {
                        journal.attemptEnded(id, i % 5 == 3);
                    }
                }
                if (due || (i % 3 == 2 && i % 5 > 1 && i % 5 < 4)) {
                    over.add(id);
                }
            }
        }
        return List.of(owed, over);
    }

    /** With the processor taken by others, each end that is known is told before the process calls itself ready. */
    @Test
    void aStarvedRestartTellsWhatIsDueBeforeItIsReady() throws Exception {
        try (Scenario s = new Scenario(folder)) {
            List<List<String>> left = left(s.launcher().stateFolder());
            AtomicBoolean busy = new AtomicBoolean(true);
            List<Thread> others = new ArrayList<>();
            for (int i = 0; i < Runtime.getRuntime().availableProcessors(); i++) {
                Thread t = new Thread(() -> {
                    while (busy.get()) {
                        Thread.onSpinWait();
                    }
                });
                t.start();
                others.add(t);
            }
            try {
                s.launcher().setNiceness(1);
                s.start(); // until ready
                List<String> told = s.notifications().stream()
                        .map(l -> l.replaceAll(".*\"id\":\"(m\\d+)\".*", "$1"))
                        .toList();
                assertTrue(told.containsAll(left.get(0)), "ends owed by the earlier process");
                assertTrue(told.containsAll(left.get(1)), "ends known at once");
                assertEquals(told.size(), told.stream().distinct().count(), "each once");
            } finally {
                busy.set(false);
                for (Thread t : others) {
                    t.join();
                }
            }
        }
    }
}
