package elderseam.app;

import elderseam.core.Clock;
import elderseam.core.Handover;
import elderseam.handover.HandoverChannel;
import elderseam.handover.HandoverFrame;
import elderseam.handover.HandoverSender;
import elderseam.handover.OwnershipLock;
import elderseam.http.IoLoop;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Passes the work of an owner on to a newer process that asks for it, as {@link HandoverSender} decides; on the I/O thread. */
final class OwnershipTransfer {
    /** What the daemon does at each step. */
    interface Estate {
        /** Stops deciding, accepting, watching and telling; the calls that are out go on, and are told. */
        HandoverFrame.Give give(Consumer<Handover.ForwardedOutcome> told);

        /** Takes all of that back. */
        void resume(List<Handover.ForwardedOutcome> heard);

        /** The other process has it: what clients still send goes there. */
        void leave();

        /** Gives up a call. */
        void abandon(String id, int attempt);
    }

    private static final long AGAIN_NS = 20 * Clock.MS, REGAIN_NS = 300 * Clock.MS;

    private final IoLoop io;
    private final OwnershipLock owner;
    private final Estate estate;
    private final HandoverSender giving = new HandoverSender();
    private final List<Handover.ForwardedOutcome> heard =
            new ArrayList<>(); // since it was given; as many as calls were out
    private HandoverChannel link;
    private ServerSocketChannel links;

    OwnershipTransfer(IoLoop io, OwnershipLock owner, Estate estate) {
        this.io = io;
        this.owner = owner;
        this.estate = estate;
    }

    /** Newer processes may ask from now on. */
    void listen(Path folder) {
        if (!HandoverChannel.possible(folder)) {
            System.err.println("no upgrade under load: the path of " + folder + " is too long for a socket");
            return;
        }
        try {
            links = HandoverChannel.listen(
                    folder, l -> l.read(f -> io.run(() -> came(l, f)), () -> io.run(() -> lost(l))));
        } catch (IOException e) {
            System.err.println("no upgrade under load: " + e);
        }
    }

    HandoverSender.State state() {
        return giving.state();
    }

    /** Whether the newer process has been told all there was to tell. */
    boolean flushed() {
        return link == null || link.flushed();
    }

    private void came(HandoverChannel from, HandoverFrame frame) {
        if (frame instanceof HandoverFrame.Take && giving.asked() == HandoverSender.Step.GIVE) {
            link = from;
            give();
        } else if (from == link
                && frame instanceof HandoverFrame.Owned
                && giving.owned() == HandoverSender.Step.LEAVE) {
            System.err.println("passed on");
            heard.clear();
            try {
                links.close();
            } catch (IOException e) {
                System.err.println("upgrade: " + e);
            }
            estate.leave();
        } else if (from == link && frame instanceof HandoverFrame.Abandon a) {
            estate.abandon(a.id(), a.attempt());
        }
    }

    private void give() {
        System.err.println("passing on");
        HandoverFrame.Give all = estate.give(passed -> {
            if (giving.state() == HandoverSender.State.GIVEN) {
                heard.add(passed);
            }
            link.send(new HandoverFrame.Ended(passed));
        });
        try {
            owner.release();
        } catch (IOException e) { // the other process will not get it, and gives up
            System.err.println("upgrade: " + e);
        }
        link.send(all);
    }

    private void lost(HandoverChannel which) {
        if (which != link) {
            return;
        }
        switch (giving.lost()) {
            case RESUME -> {
                System.err.println("the newer process failed; going on");
                link = null;
                regain(io.clock.now() + REGAIN_NS);
            }
            case FAIL -> {
                System.err.println("the newer process ended; this one has passed its work on, and ends too");
                Runtime.getRuntime().halt(1);
            }
            default -> {}
        }
    }

    /** Nothing is decided until the lock is held again, with which the other process may be about to die. Where it lives, it owns. */
    private void regain(long by) {
        try {
            if (owner.take()) {
                List<Handover.ForwardedOutcome> all = List.copyOf(heard);
                heard.clear();
                estate.resume(all);
                return;
            }
        } catch (IOException e) {
            System.err.println("upgrade: " + e);
        }
        if (io.clock.now() > by) {
            System.err.println("upgrade: another process owns the folder; this one ends");
            Runtime.getRuntime().halt(1);
        }
        io.at(io.clock.now() + AGAIN_NS, () -> regain(by));
    }
}
