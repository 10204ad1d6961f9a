package elderseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.Recovery.Stage;
import elderseam.policy.Idempotency;
import elderseam.policy.RequestClass;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** In what order, and in what portions, an earlier process's streams come back. */
class RecoveryTest {
    private static final long NOW = 5_000 * Clock.MS, S = 1_000 * Clock.MS;
    private static final List<RequestClass> CLASSES =
            List.of(cls(Idempotency.SAFE), cls(Idempotency.KEYED), cls(Idempotency.UNSAFE));

    private static RequestClass cls(Idempotency effect) {
        return new RequestClass(effect, false, false, S, 10 * S, 1, 0, S);
    }

    private static ActiveRequest stream(String id, int cls, long deadline, boolean mayHaveRun, long keyUntil) {
        ActiveRequest s = new ActiveRequest(
                new ActiveRequest.Message(id, (byte) 0, cls, 0, 1, deadline, deadline, false, true, "", new byte[0]));
        s.mayHaveRun = mayHaveRun;
        s.keyUntil = keyUntil;
        return s;
    }

    /** Known: the time is up, or it may have run and may not be repeated (any more). */
    @Test
    void whichEndsAreKnown() {
        record Case(boolean known, int cls, long left, boolean mayHaveRun, long keyLeft) {}
        for (Case c : List.of(
                new Case(false, 0, S, true, 0),
                new Case(false, 1, S, false, 0),
                new Case(false, 1, S, true, 1),
                new Case(true, 1, S, true, 0),
                new Case(false, 2, S, false, 0),
                new Case(true, 2, S, true, S),
                new Case(true, 0, 0, false, 0),
                new Case(true, 2, -S, false, 0))) {
            assertEquals(
                    c.known,
                    Recovery.endKnown(stream("x", c.cls, NOW + c.left, c.mayHaveRun, NOW + c.keyLeft), CLASSES, NOW),
                    c.toString());
        }
    }

    /** 700 streams: the known ends first, then by how soon their time is up; each once, and stages never mixed. */
    @Test
    void mostUrgentFirstAndEachOnce() {
        List<ActiveRequest> left = new ArrayList<>();
        for (int i = 0; i < 700; i++) {
            left.add(stream("m" + i, i % 3, NOW + (i - 300) * 10 * Clock.MS, i % 7 == 0, NOW));
        }
        Collections.shuffle(left, new Random(1));
        Recovery recovery = new Recovery(left, CLASSES, 40, NOW);
        List<ActiveRequest> fed = new ArrayList<>();
        int stages = 0;
        for (Stage stage = null; recovery.stage() != Stage.DONE; ) {
            stages += recovery.stage() == stage ? 0 : 1;
            stage = recovery.stage();
            List<ActiveRequest> portion = recovery.next();
            assertTrue(
                    !portion.isEmpty() && portion.size() <= (stage == Stage.ENDS ? 256 : 40),
                    "portion of " + portion.size());
            for (ActiveRequest s : portion) {
                assertEquals(stage == Stage.ENDS, Recovery.endKnown(s, CLASSES, NOW), s.id());
            }
            if (stage == Stage.OTHERS || fed.isEmpty()) {
                assertTrue(Collections.max(
                                portion.stream().map(s -> s.message.deadline()).toList())
                        <= left.stream()
                                .filter(s -> !fed.contains(s) && !portion.contains(s))
                                .filter(s -> Recovery.endKnown(s, CLASSES, NOW)
                                        == Recovery.endKnown(portion.get(0), CLASSES, NOW))
                                .mapToLong(s -> s.message.deadline())
                                .min()
                                .orElse(Long.MAX_VALUE));
            }
            fed.addAll(portion);
            recovery.took(Clock.MS);
        }
        assertEquals(2, stages);
        assertEquals(700, fed.stream().map(ActiveRequest::id).distinct().count());
        assertEquals(List.of(), recovery.next());
    }

    /** Portions that keep the thread for long shrink, to no less than a few; short ones grow. */
    @Test
    void portionsFollowTheTimeTheyTake() {
        List<ActiveRequest> left = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            left.add(stream("m" + i, 0, NOW - 1, false, 0));
        }
        Recovery recovery = new Recovery(left, CLASSES, 40, NOW);
        assertEquals(32, recovery.next().size());
        recovery.took(500 * Clock.MS);
        assertEquals(16, recovery.next().size());
        for (int i = 0; i < 5; i++) {
            recovery.took(500 * Clock.MS);
        }
        assertEquals(8, recovery.next().size());
        recovery.took(20 * Clock.MS);
        assertEquals(8, recovery.next().size());
        for (int i = 0; i < 9; i++) {
            recovery.took(Clock.MS);
        }
        assertEquals(256, recovery.next().size());
    }

    /** Not ready while anything is to be fed or told, but for its latest time. */
    @Test
    void readinessWaitsAndHasALatestTime() {
        Recovery recovery = new Recovery(List.of(stream("a", 2, NOW + S, true, 0)), CLASSES, 4, NOW);
        assertFalse(recovery.ready(NOW, 0));
        recovery.next();
        assertFalse(recovery.ready(NOW, 1));
        assertTrue(recovery.ready(NOW, 0));
        assertTrue(
                new Recovery(List.of(stream("b", 2, NOW + S, false, 0)), CLASSES, 4, NOW).ready(NOW, 0),
                "nothing is due now");
        assertFalse(new Recovery(List.of(), CLASSES, 4, NOW).ready(recovery.latest() - 1, 1));
        assertTrue(recovery.ready(recovery.latest(), 1));
    }
}
