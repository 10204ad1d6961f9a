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

/**
 * Model check of a handover: the two state machines, the lock and the channel between them are run through every order
 * of events, without sockets. At no point may both processes own the work, and none where a process lives that could.
 */
class HandoverModelTest {
    private static final int MIN_STATES = 50;
    private static final int MIN_FINAL_STATES = 5;

    private enum Event {
        SEARCH,
        WARM_UP,
        DELIVER_TO_OLDER,
        DELIVER_TO_NEWER,
        LOSE_CHANNEL,
        KILL_OLDER,
        KILL_NEWER,
        RELOCK;

        /** Whether it comes from outside; all others happen by themselves. */
        boolean isFault() {
            return this == LOSE_CHANNEL || this == KILL_OLDER || this == KILL_NEWER;
        }
    }

    private enum Frame {
        REQUEST,
        STATE,
        CONFIRMATION
    }

    private enum LockHolder {
        NOBODY,
        OLDER,
        NEWER
    }

    /** Both processes after some events; each order of events is played on a fresh one. */
    private static final class World {
        final HandoverSender sender = new HandoverSender();
        final HandoverReceiver receiver = new HandoverReceiver();
        final ArrayDeque<Frame> toOlder = new ArrayDeque<>();
        final ArrayDeque<Frame> toNewer = new ArrayDeque<>();
        boolean olderAlive = true;
        boolean newerAlive = true;
        boolean connected;
        boolean olderSawEnd = true;
        boolean newerSawEnd = true;
        boolean relocking;
        boolean resumed;
        LockHolder lock = LockHolder.OLDER;

        static World after(List<Event> events) {
            World world = new World();
            events.forEach(world::apply);
            return world;
        }

        boolean olderOwns() {
            return olderAlive && sender.state() == HandoverSender.State.OWNER && !relocking;
        }

        boolean newerOwns() {
            return newerAlive && receiver.state() == HandoverReceiver.State.OWNER;
        }

        private boolean isPossible(Event event) {
            return switch (event) {
                case SEARCH -> newerAlive && receiver.state() == HandoverReceiver.State.SEARCHING && newerSawEnd;
                case WARM_UP -> newerAlive && receiver.state() == HandoverReceiver.State.WARMING_UP;
                // Frames that were written are read also after the other's end; then that end is seen.
                case DELIVER_TO_OLDER -> olderAlive && (connected ? !toOlder.isEmpty() : !olderSawEnd);
                case DELIVER_TO_NEWER -> newerAlive && (connected ? !toNewer.isEmpty() : !newerSawEnd);
                case LOSE_CHANNEL -> connected;
                case KILL_OLDER -> olderAlive;
                case KILL_NEWER -> newerAlive;
                case RELOCK -> olderAlive && relocking && lock == LockHolder.NOBODY;
            };
        }

        /** Plays the event; false where it can't happen now. */
        boolean apply(Event event) {
            if (!isPossible(event)) {
                return false;
            }
            switch (event) {
                case SEARCH -> search();
                case WARM_UP -> {
                    assertEquals(HandoverReceiver.Action.REQUEST, receiver.onWarmedUp());
                    toOlder.add(Frame.REQUEST);
                }
                case DELIVER_TO_OLDER -> deliverToOlder(toOlder.poll());
                case DELIVER_TO_NEWER -> deliverToNewer(toNewer.poll());
                case LOSE_CHANNEL -> loseChannel();
                case KILL_OLDER -> {
                    olderAlive = false;
                    die(LockHolder.OLDER);
                }
                case KILL_NEWER -> {
                    newerAlive = false;
                    die(LockHolder.NEWER);
                }
                case RELOCK -> {
                    lock = LockHolder.OLDER;
                    relocking = false;
                    resumed = true;
                }
            }
            return true;
        }

        private void search() {
            boolean connects = olderAlive && sender.state() == HandoverSender.State.OWNER && !relocking && olderSawEnd;
            boolean locked = !connects && lockForNewer();
            HandoverReceiver.Action expected = HandoverReceiver.Action.RETRY;
            if (connects) {
                expected = HandoverReceiver.Action.WARM_UP;
            } else if (locked) {
                expected = HandoverReceiver.Action.RECOVER;
            }
            assertEquals(expected, receiver.onSearched(connects, locked));
            if (connects) {
                connected = true;
                toOlder.clear();
                toNewer.clear();
            }
        }

        private boolean lockForNewer() {
            if (lock != LockHolder.NOBODY) {
                return false;
            }
            lock = LockHolder.NEWER;
            return true;
        }

        private void loseChannel() {
            connected = false;
            olderSawEnd = false;
            newerSawEnd = false;
        }

        private void die(LockHolder who) {
            if (lock == who) {
                lock = LockHolder.NOBODY;
            }
            if (connected) {
                loseChannel();
            }
        }

        /** {@code frame}: null for the end of the channel. */
        private void deliverToOlder(Frame frame) {
            if (frame == null) {
                olderSawEnd = true;
                HandoverSender.Action action = sender.onChannelClosed();
                relocking |= action == HandoverSender.Action.RESUME;
                olderAlive &= action != HandoverSender.Action.FAIL;
            } else if (frame == Frame.REQUEST) {
                if (sender.onTransferRequested() == HandoverSender.Action.TRANSFER) {
                    lock = LockHolder.NOBODY;
                    toNewer.add(Frame.STATE);
                }
            } else {
                assertEquals(HandoverSender.Action.RETIRE, sender.onOwnershipConfirmed());
            }
        }

        /** {@code frame}: null for the end of the channel. */
        private void deliverToNewer(Frame frame) {
            if (frame == null) {
                newerSawEnd = true;
                receiver.onChannelClosed();
                return;
            }
            boolean tookOver = receiver.onStateReceived(lockForNewer()) == HandoverReceiver.Action.TAKE_OVER;
            if (tookOver && connected) {
                toOlder.add(Frame.CONFIRMATION);
            } else if (!tookOver && connected) {
                loseChannel(); // as OwnershipAcquisition closes it
            }
        }

        String signature() {
            return sender.state() + " " + receiver.state() + toOlder + toNewer + olderAlive + newerAlive + connected
                    + olderSawEnd + newerSawEnd + relocking + lock;
        }
    }

    @Test
    void neverTwoOwnersAndNeverNone() {
        Set<String> seen = new HashSet<>();
        ArrayDeque<List<Event>> open = new ArrayDeque<>(List.of(List.of()));
        int finalStates = 0;
        while (!open.isEmpty()) {
            List<Event> past = open.poll();
            World world = World.after(past);
            assertOneOwnerWithTheLock(world, past);
            boolean goesOn = false;
            for (Event event : Event.values()) {
                List<Event> next = new ArrayList<>(past);
                next.add(event);
                World changed = World.after(past);
                boolean possible = changed.apply(event);
                goesOn |= possible && !event.isFault() && !changed.signature().equals(world.signature());
                if (possible && seen.add(changed.signature())) {
                    open.add(next);
                }
            }
            if (!goesOn && (world.olderAlive || world.newerAlive)) {
                finalStates++;
                assertTrue(
                        world.olderOwns() || world.newerOwns() || isOnlyTransferredLeft(world),
                        () -> "nobody owns after " + past);
            }
        }
        assertTrue(
                seen.size() > MIN_STATES && finalStates > MIN_FINAL_STATES,
                seen.size() + " states, " + finalStates + " final ones");
    }

    private static void assertOneOwnerWithTheLock(World world, List<Event> past) {
        assertFalse(world.olderOwns() && world.newerOwns(), () -> "two owners after " + past);
        if (world.newerOwns()) {
            assertEquals(LockHolder.NEWER, world.lock, () -> "an owner without the lock after " + past);
        }
        if (world.olderOwns()) {
            assertEquals(LockHolder.OLDER, world.lock, () -> "an owner without the lock after " + past);
        }
    }

    private static boolean isOnlyTransferredLeft(World world) {
        return !world.newerAlive && world.sender.state() == HandoverSender.State.TRANSFERRED;
    }

    @Test
    void theUsualCourse() {
        World world = World.after(List.of(
                Event.SEARCH, Event.WARM_UP, Event.DELIVER_TO_OLDER, Event.DELIVER_TO_NEWER, Event.DELIVER_TO_OLDER));
        assertTrue(world.newerOwns());
        assertEquals(HandoverSender.State.TRANSFERRED, world.sender.state());
    }

    @Test
    void aNewerProcessThatDiesBeforeItOwnsGivesTheWorkBack() {
        World world = World.after(List.of(
                Event.SEARCH,
                Event.WARM_UP,
                Event.DELIVER_TO_OLDER,
                Event.KILL_NEWER,
                Event.DELIVER_TO_OLDER,
                Event.RELOCK));
        assertTrue(world.olderOwns() && world.resumed);
    }
}
