package elderseam.core;

import elderseam.core.EndpointCall.End;
import elderseam.core.EndpointCall.Progress;
import elderseam.core.EndpointCall.Status;
import elderseam.policy.PolicySettings;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** A relay's work on its way from one process to the next: what the older one passes on, and what the newer one makes of it. */
public final class Handover {
    /** A call that is out at another process, which has passed its work on. */
    public record Out(String id, int attempt, String host, long agoNs) {}

    /** What this process still hears of a call, after it has passed its work on; {@code late}: after it had given the call up. */
    public record Passed(String id, int attempt, String host, boolean late, End end) {}

    /** All that the next process needs besides the journal. */
    public record Estate(byte[] learned, List<Out> out) {}

    private static final long LEAST_DISK = 1 << 20;
    private static final String LEARNED = "learned";
    private static final int LAYOUT = 1; // of the ledger that the module writes; another one is not read
    private static final long KEEP_NS = 1_000 * Clock.MS;

    private final RequestDispatcher relay;
    private final AttemptTracker attempts;
    private final PolicyFacade facade;
    private final Journal journal;
    private final Clock clock;
    private final EventLoop loop;
    private PolicySnapshotStore learned;
    private final Set<String> adopted = new HashSet<>(); // out at the process before this one
    private Consumer<Passed> successor; // once another process has taken over: it decides, this one tells it

    Handover(
            RequestDispatcher relay,
            AttemptTracker attempts,
            PolicyFacade facade,
            Journal journal,
            Clock clock,
            EventLoop loop) {
        this.relay = relay;
        this.attempts = attempts;
        this.facade = facade;
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
    }

    // ---------------------------------------------------------------- the older process

    /**
     * Passes all work on to another process: nothing is decided, begun or written here any more, and what is still heard of the
     * calls that are out is told to it. {@link #keep} takes that back.
     */
    public Estate passOn(Consumer<Passed> to) {
        PolicySnapshotCodec.Writer learned = new PolicySnapshotCodec.Writer(clock);
        facade.carry(clock.now(), learned);
        List<Out> calls = new ArrayList<>();
        relay.streams()
                .filter(s -> s.out != null)
                .forEach(s -> calls.add(new Out(s.id(), s.leg.number, s.leg.host, clock.now() - s.leg.start)));
        successor = to;
        journal.letGo();
        return new Estate(learned.bytes(), calls);
    }

    /** Whether another process decides. */
    boolean passedOn() {
        return successor != null;
    }

    /** Tells the process that decides, where that is another one. */
    boolean tell(ActiveRequest s, AttemptTracker.Leg leg, boolean late, End end) {
        if (successor != null) {
            successor.accept(new Passed(s.id(), leg.number, leg.host, late, end));
        }
        return successor != null;
    }

    /** The other process has failed before it took over; {@code heard}: what it had been told of calls counts here. */
    public void keep(List<Passed> heard) {
        successor = null;
        journal.resume();
        heard.forEach(p -> {
            ActiveRequest s = relay.stream(p.id());
            if (p.late()) {
                facade.reportLate(clock.now(), p.host(), p.end());
            } else if (s != null && s.leg != null && s.leg.number == p.attempt()) {
                s.leg.ended(p.end());
            }
        });
        relay.turnAgain();
    }

    /** Gives a call up that another process decides on. */
    public void abandon(String id, int attempt) {
        AttemptTracker.abandon(relay.stream(id), attempt);
    }

    // ---------------------------------------------------------------- over a crash

    /** What is set aside, of so much disk, for what is learned; nothing of a disk that is small for the journal itself. */
    public static int aside(long diskBytes) {
        return diskBytes < LEAST_DISK ? 0 : PolicySnapshotStore.MOST;
    }

    /**
     * Takes up what an earlier process on this folder had learned less than a minute ago, before the first list, and keeps what
     * this one learns from now on, once a second. A told wait ended with that process: what it had taken on and not tried is tried.
     */
    public void remember() {
        try {
            byte[] kept = new PolicySnapshotStore(journal.aside(LEARNED), shape()).kept();
            PolicySnapshotCodec.Reader reader = kept == null ? null : new PolicySnapshotCodec.Reader(kept, clock, true);
            if (reader != null && reader.agoNs >= 0 && reader.agoNs < PolicySnapshotStore.FRESH_NS) {
                facade.carry(clock.now(), reader);
            }
        } catch (IOException e) {
            System.err.println("what was learned is not taken up: " + e);
        }
        keepOn();
    }

    /** The same for a process that has taken over from one that lived: it has all of that by {@link #takeOver}. */
    public void keepOn() {
        try {
            learned = new PolicySnapshotStore(journal.aside(LEARNED), shape());
            loop.at(clock.now() + KEEP_NS, this::keepLearned);
        } catch (IOException e) {
            System.err.println("what was learned is not kept: " + e);
        }
    }

    private int shape() {
        PolicySettings s = facade.settings();
        return LAYOUT << 24
                | s.classes().size() << 16
                | s.kinds().size() << 8
                | s.tenantRates().size();
    }

    private void keepLearned() {
        if (!passedOn()) {
            PolicySnapshotCodec.Writer writer = new PolicySnapshotCodec.Writer(clock);
            facade.carry(clock.now(), writer);
            try {
                learned.keep(writer.bytes());
            } catch (IOException e) {
                System.err.println("what was learned is not kept: " + e);
                return;
            }
        }
        loop.at(clock.now() + KEEP_NS, this::keepLearned);
    }

    // ---------------------------------------------------------------- the newer process

    /** The streams whose calls are out at the process before this one. */
    Set<String> adopted() {
        return adopted;
    }

    /**
     * Takes over from another process, before {@link RequestDispatcher#recover}: what its module has learned, and its calls that are still
     * out; {@code abandon} asks it to give one up.
     */
    public void takeOver(Estate estate, Consumer<Out> abandon) {
        facade.carry(clock.now(), new PolicySnapshotCodec.Reader(estate.learned(), clock, false));
        Map<String, Out> calls = new HashMap<>();
        estate.out().forEach(o -> calls.put(o.id(), o));
        for (ActiveRequest s : journal.out(calls.keySet())) {
            Out o = calls.get(s.id());
            if (s.attempts - 1 != o.attempt()) {
                continue;
            }
            adopted.add(s.id());
            relay.takenBack(s);
            facade.take(clock.now(), s);
            long start = clock.now() - o.agoNs();
            facade.adopt(clock.now(), s, o.host(), start);
            AttemptTracker.Leg leg = attempts.out(s, o.attempt(), o.host(), start);
            s.out = () -> abandon.accept(o);
            // told in time even where the other process falls silent
            loop.at(
                    Math.max(clock.now(), s.message.deadline() - RequestDispatcher.TELLING_NS / 2),
                    () -> unheard(s, leg));
        }
    }

    /** The other process tells of a call that it had out. */
    public void passed(Passed p) {
        ActiveRequest s = relay.stream(p.id());
        if (p.late()) {
            if (s != null && s.leg != null && s.leg.number == p.attempt()) {
                s.leg.answeredLate(p.end());
            } else {
                facade.reportLate(clock.now(), p.host(), p.end());
                relay.answered();
            }
        } else if (s != null && s.out != null && s.leg.number == p.attempt() && adopted.remove(p.id())) {
            s.leg.ended(p.end());
        }
    }

    /** The other process has gone: the calls that it has not told of may have run. */
    public void unheard() {
        List.copyOf(adopted).forEach(id -> {
            ActiveRequest s = relay.stream(id);
            if (s != null) {
                unheard(s, s.leg);
            }
        });
        adopted.clear();
    }

    /** Its host did nothing for that, so it is not held against it. */
    private void unheard(ActiveRequest s, AttemptTracker.Leg leg) {
        if (s.out != null && s.leg == leg && adopted.remove(s.id())) {
            leg.ended(End.unanswered(Progress.WRITTEN, Status.ABANDONED));
        }
    }
}
