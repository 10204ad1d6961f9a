package elderseam.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The decisions of a hand-over at every order of its events: both processes, the lock and the link between them, no sockets. */
class HandoverModelTest {
    private enum Event {
        LOOK,
        WARM,
        TO_OLD,
        TO_NEW,
        LOSE,
        KILL_OLD,
        KILL_NEW,
        REGAIN
    }

    /** The world after some events, played anew for each order. */
    private static final class World {
        final HandoverSender giving = new HandoverSender();
        final HandoverReceiver taking = new HandoverReceiver();
        final ArrayDeque<String> toOld = new ArrayDeque<>(), toNew = new ArrayDeque<>();
        boolean oldAlive = true, newAlive = true, linked, oldSawEnd = true, newSawEnd = true, regaining, resumed;
        String lock = "old";

        boolean oldOwns() {
            return oldAlive && giving.state() == HandoverSender.State.OWNER && !regaining;
        }

        boolean newOwns() {
            return newAlive && taking.state() == HandoverReceiver.State.OWNER;
        }

        private void lose() {
            linked = false;
            oldSawEnd = newSawEnd = false;
        }

        private boolean possible(Event e) {
            return switch (e) {
                case LOOK -> newAlive && taking.state() == HandoverReceiver.State.SEEKING && newSawEnd;
                case WARM -> newAlive && taking.state() == HandoverReceiver.State.WARMING;
                case TO_OLD ->
                    oldAlive && (linked ? !toOld.isEmpty() : !oldSawEnd); // what was written is read, also after
                case TO_NEW ->
                    newAlive && (linked ? !toNew.isEmpty() : !newSawEnd); // the other's end; then that end is seen
                case LOSE -> linked;
                case KILL_OLD -> oldAlive;
                case KILL_NEW -> newAlive;
                case REGAIN -> oldAlive && regaining && lock.isEmpty();
            };
        }

        /** False where it can't happen now. */
        boolean happens(Event e) {
            if (!possible(e)) {
                return false;
            }
            switch (e) {
                case LOOK -> look();
                case WARM -> {
                    assertEquals(HandoverReceiver.Step.ASK, taking.warm());
                    toOld.add("take");
                }
                case TO_OLD -> old(toOld.poll());
                case TO_NEW -> fresh(toNew.poll());
                case LOSE -> lose();
                case KILL_OLD -> {
                    oldAlive = false;
                    dies("old");
                }
                case KILL_NEW -> {
                    newAlive = false;
                    dies("new");
                }
                case REGAIN -> {
                    lock = "old";
                    regaining = false;
                    resumed = true;
                }
            }
            return true;
        }

        private void look() {
            boolean link = oldAlive && giving.state() == HandoverSender.State.OWNER && !regaining && oldSawEnd;
            boolean locked = !link && lock.isEmpty();
            lock = locked ? "new" : lock;
            assertEquals(
                    link
                            ? HandoverReceiver.Step.WARM
                            : locked ? HandoverReceiver.Step.RECOVER : HandoverReceiver.Step.LOOK_AGAIN,
                    taking.looked(link, locked));
            if (link) {
                linked = true;
                toOld.clear();
                toNew.clear();
            }
        }

        private void dies(String who) {
            lock = lock.equals(who) ? "" : lock;
            if (linked) {
                lose();
            }
        }

        private void old(String frame) {
            if (frame == null) {
                oldSawEnd = true;
                HandoverSender.Step step = giving.lost();
                regaining |= step == HandoverSender.Step.RESUME;
                oldAlive &= step != HandoverSender.Step.FAIL;
            } else if (frame.equals("take")) {
                if (giving.asked() == HandoverSender.Step.GIVE) {
                    lock = "";
                    toNew.add("give");
                }
            } else {
                assertEquals(HandoverSender.Step.LEAVE, giving.owned());
            }
        }

        private void fresh(String frame) {
            if (frame == null) {
                newSawEnd = true;
                taking.lost();
                return;
            }
            boolean locked = lock.isEmpty();
            lock = locked ? "new" : lock;
            HandoverReceiver.Step step = taking.given(locked);
            if (step == HandoverReceiver.Step.TAKE && linked) {
                toOld.add("owned");
            } else if (step != HandoverReceiver.Step.TAKE && linked) {
                lose(); // as Accession closes it
            }
        }

        String signature() {
            return giving.state() + " " + taking.state() + toOld + toNew + oldAlive + newAlive + linked + oldSawEnd
                    + newSawEnd + regaining + lock;
        }
    }

    @Test
    void neverTwoOwnersAndNeverNone() {
        Set<String> seen = new HashSet<>();
        ArrayDeque<List<Event>> open = new ArrayDeque<>(List.of(List.of()));
        int ends = 0;
        while (!open.isEmpty()) {
            List<Event> past = open.poll();
            World w = played(past);
            assertFalse(w.oldOwns() && w.newOwns(), () -> "two owners after " + past);
            if (w.newOwns()) {
                assertEquals("new", w.lock, () -> "an owner without the lock after " + past);
            }
            if (w.oldOwns()) {
                assertEquals("old", w.lock, () -> "an owner without the lock after " + past);
            }
            boolean moves = false;
            for (Event e : Event.values()) {
                List<Event> next = new ArrayList<>(past);
                next.add(e);
                World after = new World();
                boolean possible = true;
                for (Event x : next) {
                    possible = after.happens(x);
                }
                boolean own = e != Event.LOSE && e != Event.KILL_OLD && e != Event.KILL_NEW;
                moves |= possible && own && !after.signature().equals(w.signature());
                if (possible && seen.add(after.signature())) {
                    open.add(next);
                }
            }
            if (!moves && (w.oldAlive || w.newAlive)) { // nothing more happens by itself
                ends++;
                assertTrue(
                        w.oldOwns() || w.newOwns() || !w.newAlive && w.giving.state() == HandoverSender.State.GONE,
                        () -> "nobody owns after " + past);
            }
        }
        assertTrue(seen.size() > 50 && ends > 5, seen.size() + " states, " + ends + " ends");
    }

    private static World played(List<Event> events) {
        World w = new World();
        events.forEach(w::happens);
        return w;
    }

    @Test
    void theUsualCourse() {
        World w = played(List.of(Event.LOOK, Event.WARM, Event.TO_OLD, Event.TO_NEW, Event.TO_OLD));
        assertTrue(w.newOwns());
        assertEquals(HandoverSender.State.GONE, w.giving.state());
    }

    @Test
    void aNewerProcessThatDiesBeforeItOwnsGivesTheWorkBack() {
        World w = played(List.of(Event.LOOK, Event.WARM, Event.TO_OLD, Event.KILL_NEW, Event.TO_OLD, Event.REGAIN));
        assertTrue(w.oldOwns() && w.resumed);
    }
}
