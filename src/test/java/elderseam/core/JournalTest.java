package elderseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the journal gives back, before and after a compaction. */
class JournalTest {
    private static final long CAP = 200_000, S = 1_000 * Clock.MS;

    @TempDir
    Path folder;

    private final Clock clock = new Clock();
    private Journal journal;

    @BeforeEach
    void open() throws IOException {
        journal = new Journal(folder, CAP, clock);
    }

    private ActiveRequest.Message message(String id, int bytes, long liveS) {
        long until = clock.now() + liveS * S;
        return new ActiveRequest.Message(id, (byte) 0, 1, 2, 7, until, until, false, true, "key", new byte[bytes]);
    }

    private void again() throws IOException {
        journal.close();
        open();
    }

    private void churn() throws IOException {
        for (int i = 0; i < 2_000; i++) {
            ActiveRequest.Message m = message("churn" + i, 500, -1); // its end need not be remembered
            assertTrue(journal.taken(m), "no room for " + i);
            journal.ended(m, FinalOutcome.DELIVERED, true);
            assertTrue(Files.size(folder.resolve("journal")) <= CAP);
        }
    }

    /** Attempts used, and from when a keyed one may have run, outlast compaction and restart. */
    @Test
    void unfinishedMessagesComeBackAsTheyWere() throws IOException {
        journal.taken(message("a", 100, 60));
        journal.sent("a");
        journal.result("a", false);
        journal.sent("a");
        journal.result("a", true);
        long ran = clock.now();
        journal.taken(message("b", 10, 60));
        journal.sent("b");
        journal.result("b", false);
        journal.taken(message("c", 10, 60));
        journal.sent("c");
        churn();
        again();
        List<ActiveRequest> back = journal.unfinished(java.util.Set.of());
        assertEquals(
                List.of("a2true", "b1false", "c1true"),
                back.stream().map(s -> s.id() + s.attempts + s.mayHaveRun).toList());
        ActiveRequest a = back.get(0);
        assertEquals(100, a.message.body().length);
        assertEquals(List.of(1, 2, "key"), List.of(a.message.cls(), a.message.tenant(), a.message.key()));
        assertTrue(Math.abs(a.keyUntil - ran) < S, "when it may have run");
        assertTrue(Math.abs(a.message.deadline() - clock.now() - 60 * S) < 20 * S, "deadline");
    }

    /** An end that is owed is given back until it is told; a refused one is then forgotten, others are not. */
    @Test
    void endsAreOwedUntilTold() throws IOException {
        ActiveRequest.Message refused = message("r", 10, 60),
                failed = message("f", 10, 60),
                unheard = message("u", 10, 60);
        for (ActiveRequest.Message m : List.of(refused, failed, unheard)) {
            journal.taken(m);
        }
        journal.ended(refused, FinalOutcome.refused(5), true);
        journal.ended(failed, FinalOutcome.FAILED, true);
        journal.ended(unheard, FinalOutcome.refused(9), true);
        journal.told("r");
        journal.told("f");
        churn();
        again();
        assertNull(journal.answer("r"));
        assertEquals(FinalOutcome.FAILED, journal.answer("f"));
        assertEquals(
                List.of("u9"),
                journal.owed().entrySet().stream()
                        .map(e -> e.getKey().id() + e.getValue().againNs())
                        .toList());
        assertEquals(List.of(), journal.unfinished(java.util.Set.of()));
    }

    /** Ids are always new: those whose end need not be remembered must not stay until the file is full. */
    @Test
    void endsAreForgottenInTime() throws IOException {
        journal.close();
        journal = new Journal(folder, 100_000_000, clock);
        for (int i = 0; i < 5_000; i++) {
            ActiveRequest.Message m = message("m" + i, 10, -1);
            journal.taken(m);
            journal.ended(m, FinalOutcome.DELIVERED, true);
        }
        assertNull(journal.answer("m1"));
        ActiveRequest.Message kept = message("kept", 10, 60);
        journal.taken(kept);
        journal.ended(kept, FinalOutcome.DELIVERED, true);
        assertEquals(FinalOutcome.DELIVERED, journal.answer("kept"));
    }

    /** What is full refuses, and has room again once something ended. */
    @Test
    void aFullJournalHasRoomAgain() throws IOException {
        ActiveRequest.Message first = message("m0", 20_000, -1);
        journal.taken(first);
        int taken = 1;
        while (journal.taken(message("m" + taken, 20_000, 60))) {
            taken++;
        }
        assertEquals(4, taken);
        assertTrue(journal.sent("m1"), "bookkeeping still has room");
        journal.ended(first, FinalOutcome.DELIVERED, true);
        assertTrue(journal.taken(message("x", 20_000, 60)));
        try (var files = Files.list(folder)) {
            assertTrue(files.mapToLong(f -> f.toFile().length()).sum() <= CAP);
        }
    }

    private ActiveRequest.Message keyed(String id, String same, long liveS) {
        ActiveRequest.Message m = message(id, 50, liveS);
        return new ActiveRequest.Message(
                id,
                m.front(),
                m.cls(),
                m.tenant(),
                m.destination(),
                m.deadline(),
                m.rememberUntil(),
                false,
                false,
                "",
                m.body(),
                same);
    }

    /** Keys, copies that wait and the schemes in use outlast compaction and restart; a refused one's key is free again. */
    @Test
    void keysComeBackAsTheyWere() throws IOException {
        assertTrue(journal.scheme("s0", new byte[300]) && journal.scheme("s1", new byte[300]));
        ActiveRequest.Message delivered = keyed("d", "s1:d", 60),
                refused = keyed("r", "s1:r", 60),
                pending = keyed("p", "s1:p", 60);
        for (ActiveRequest.Message m : List.of(delivered, refused, pending)) {
            assertTrue(journal.taken(m));
        }
        assertTrue(journal.joined(keyed("copy", "s1:p", 60)));
        journal.ended(delivered, FinalOutcome.DELIVERED, true);
        journal.ended(refused, FinalOutcome.refused(1), false);
        assertTrue(journal.scheme("s2", new byte[400]));
        for (int round = 0; round < 3; round++) {
            assertEquals(FinalOutcome.DELIVERED, journal.answerOf("s1:d"));
            assertNull(journal.answerOf("s1:r"));
            assertNull(journal.answerOf("s1:p"));
            assertEquals(
                    List.of("p s1:p"),
                    journal.unfinished(java.util.Set.of()).stream()
                            .map(x -> x.id() + " " + x.message.same())
                            .toList());
            assertEquals(
                    List.of("copy s1:p"),
                    journal.joined().stream().map(x -> x.id() + " " + x.same()).toList());
            assertEquals(java.util.Set.of("s1", "s2"), journal.schemes().keySet());
            if (round == 1) {
                churn();
            }
            again();
        }
        journal.ended(pending, FinalOutcome.FAILED, false);
        journal.ended(keyed("copy", "s1:p", 60), FinalOutcome.FAILED, false);
        assertEquals(FinalOutcome.FAILED, journal.answerOf("s1:p"));
        assertTrue(journal.joined().isEmpty());
    }

    /** Once the last end with a key of it is no longer remembered, a scheme is gone, its bytes with it. */
    @Test
    void aSchemeIsForgottenWithItsLastKey() throws IOException {
        assertTrue(journal.scheme("old", new byte[20_000]));
        ActiveRequest.Message m = keyed("m", "old:1", -1);
        assertTrue(journal.taken(m));
        journal.ended(m, FinalOutcome.DELIVERED, false);
        assertTrue(journal.scheme("new", new byte[10]));
        assertEquals(java.util.Set.of("new"), journal.schemes().keySet());
        assertNull(journal.answerOf("old:1"));
        churn();
        assertTrue(!journal.scheme("huge", new byte[120_000]), "no room for it");
        assertEquals(java.util.Set.of("new"), journal.schemes().keySet());
    }
}
