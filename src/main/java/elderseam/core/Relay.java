package elderseam.core;

import elderseam.module.Sender;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Takes streams on, carries out what the module decides and sees to it that each ends once. Owned by one thread;
 * nothing here blocks.
 */
public final class Relay {
    /** A destination that no list has: what is to go there is never taken on, whatever any rule says. */
    public static final long NOWHERE = 999_999_999_999_999_999L;
    static final long ROOM_AGAIN_NS = 1_000 * Clock.MS;
    /** Kept of a stream's time to tell its end in: a thread that is late for so long still tells it in time. */
    static final long TELLING_NS = 80 * Clock.MS;
    private static final long LOOK_NS = 5 * Clock.MS;

    private final Sender.Settings settings;
    private final Facade facade;
    private final Journal journal;
    private final Clock clock;
    private final Loop loop;
    private final Map<Byte, Front> fronts = new HashMap<>();
    private final Map<Byte, Upstream> upstreams = new HashMap<>();
    private final Map<String, Stream> streams = new HashMap<>();
    private final Copies copies;
    private final Detached detached;
    private final Figures figures;
    private final Set<String> adopted = new HashSet<>();   // out at the process before this one
    private Map<Long, int[]> outs;      // calls out by destination, where anybody asks
    private Runnable watch = () -> { };
    private Consumer<Passed> successor;   // once another process has taken over: it decides, this one tells it
    private boolean turning, postponed, recovering;
    private long tickAt = Long.MAX_VALUE;
    private int out;

    public Relay(Sender.Settings settings, long seed, Journal journal, Clock clock, Loop loop) {
        this(settings, seed, journal, clock, loop, words -> System.err.println("module: " + words));
    }

    /** {@code log}: where the module's words go. */
    public Relay(Sender.Settings settings, long seed, Journal journal, Clock clock, Loop loop, Consumer<String> log) {
        this.settings = settings;
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
        this.detached = new Detached(journal.detached());
        this.figures = new Figures(settings.classes().size());
        this.copies = new Copies(journal, clock, loop, fronts, figures);
        this.facade = new Facade(settings, seed, log);
    }

    /** Names a front, and who carries what it took on. */
    public void front(byte number, Front front, Upstream upstream) {
        fronts.put(number, front);
        upstreams.put(number, upstream);
    }

    /** {@code watch} is run when news of the list of hosts is wanted. */
    public void onWatch(Runnable watch) {
        this.watch = watch;
    }

    /** The list of hosts, or that it could not be had. */
    public void hosts(Sender.ListKind kind, List<Sender.Endpoint> hosts) {
        if (successor == null) {
            facade.report(clock.now(), kind, detached.over(kind, hosts));
            turn();
        }
    }

    /** What came of an operator's word on a host. */
    public enum Detaching { DONE, UNKNOWN, NO_ROOM }

    /**
     * An operator takes a host out of use, or gives it back; either may come again. It is in the journal before this returns,
     * so it outlasts the process, and whatever the list says meanwhile the module sees the host as draining.
     */
    public Detaching detach(String host, boolean out) {
        if (!detached.knows(host)) {
            return Detaching.UNKNOWN;
        }
        if (out && !detached.has(host) && detached.full() || !journal.detach(host, out)) {
            return Detaching.NO_ROOM;
        }
        if (detached.has(host) != out) {
            facade.report(clock.now(), Sender.ListKind.CHANGES, detached.set(host, out));
            turn();
        }
        return Detaching.DONE;
    }

    /** The figures, a line each; {@code classes}: their names. */
    public List<String> figures(List<String> classes) {
        List<String> lines = new ArrayList<>();
        figures.lines(classes, lines);
        Sender.Listed listed = facade.listed(clock.now());
        lines.add("edge_relay.inflight=" + held());
        lines.add("edge_relay.hosts_listed=" + listed.hosts());
        lines.add("edge_relay.hosts_down=" + listed.down());
        return lines;
    }

    /**
     * Takes back what the journal holds unfinished, as {@link Recovery} says, with a pass over the sockets between two
     * portions; answers that an earlier process still owed go to their fronts first. {@code ready} is run once, when
     * the process may call itself ready; {@code untold}: answers that the fronts have yet to tell.
     */
    public void recover(IntSupplier untold, Runnable ready) {
        List<Stream> back = new ArrayList<>(journal.unfinished(adopted));
        back.removeIf(s -> adopted.contains(s.id()));
        for (Stream s : back) {
            if (s.mayHaveRun) {
                s.keyUntil += settings.classes().get(s.message.cls()).keyWindowNs();
            }
            takenBack(s);
        }
        copies.recover();
        journal.owed().forEach((message, answer) -> fronts.get(message.front()).ended(message, answer));
        Recovery recovery = new Recovery(back, settings.classes(), settings.slots(), clock.now());
        boolean[] told = new boolean[1];
        loop.at(recovery.latest(), () -> readyOnce(told, ready));
        recover(recovery, untold, told, ready);
    }

    private void takenBack(Stream s) {
        s.owned = true;
        streams.put(s.id(), s);
        if (!s.message.same().isEmpty()) {
            copies.leads(s);
        }
    }

    private void recover(Recovery recovery, IntSupplier untold, boolean[] told, Runnable ready) {
        fronts.values().forEach(Front::tell);
        Runnable again = () -> recover(recovery, untold, told, ready);
        if (loop.late()) {
            loop.afterReading(again);
            return;
        }
        long start = clock.now();
        List<Stream> portion = recovery.next();
        for (Stream s : portion) {
            if (streams.get(s.id()) == s) {
                facade.take(clock.now(), s);
            }
        }
        turn();
        recovery.took(clock.now() - start);
        if (recovery.ready(clock.now(), untold.getAsInt())) {
            readyOnce(told, ready);
        }
        recovering = recovery.stage() != Recovery.Stage.DONE || !told[0];
        if (recovery.stage() != Recovery.Stage.DONE) {
            loop.afterReading(again);
        } else if (recovering) {   // answers are under way
            loop.at(clock.now() + LOOK_NS, again);
        }
    }

    private static void readyOnce(boolean[] told, Runnable ready) {
        if (!told[0]) {
            told[0] = true;
            ready.run();
        }
    }

    /** A call that is out at another process, which has passed its work on. */
    public record Out(String id, int attempt, String host, long agoNs) {}

    /** What this process still hears of a call, after it has passed its work on; {@code late}: after it had given the call up. */
    public record Passed(String id, int attempt, String host, boolean late, UpstreamRequest.End end) {}

    /** All that the next process needs besides the journal. */
    public record Estate(byte[] learned, List<Out> out) {}

    /**
     * Passes all work on to another process: nothing is decided, begun or written here any more, and what is still heard of the
     * calls that are out is told to it. {@link #keep()} takes that back.
     */
    public Estate passOn(Consumer<Passed> to) {
        LedgerBytes.Writer learned = new LedgerBytes.Writer(clock);
        facade.carry(clock.now(), learned);
        List<Out> calls = new ArrayList<>();
        streams.values().stream().filter(s -> s.out != null).forEach(s -> calls.add(
                new Out(s.id(), s.attempts - 1, s.leg.host, clock.now() - s.leg.start)));
        successor = to;
        journal.letGo();
        return new Estate(learned.bytes(), calls);
    }

    /** The other process has failed before it took over; {@code heard}: what it had been told of calls counts here. */
    public void keep(List<Passed> heard) {
        successor = null;
        journal.resume();
        heard.forEach(p -> {
            Stream s = streams.get(p.id());
            if (p.late()) {
                facade.reportLate(clock.now(), p.host(), p.end());
            } else if (s != null && s.leg != null && s.leg.number == p.attempt()) {
                s.leg.ended(p.end());
            }
        });
        tickAt = Long.MAX_VALUE;
        turn();
    }

    /** Gives a call up that another process decides on. */
    public void abandon(String id, int attempt) {
        Stream s = streams.get(id);
        if (s != null && s.out != null && s.attempts - 1 == attempt) {
            s.out.abandon();
        }
    }

    /**
     * Takes over from another process, before {@link #recover}: what its module has learned, and its calls that are still out;
     * {@code abandon} asks it to give one up.
     */
    public void takeOver(Estate estate, Consumer<Out> abandon) {
        facade.carry(clock.now(), new LedgerBytes.Reader(estate.learned(), clock));
        Map<String, Out> calls = new HashMap<>();
        estate.out().forEach(o -> calls.put(o.id(), o));
        for (Stream s : journal.unfinished(calls.keySet())) {
            Out o = calls.get(s.id());
            if (o == null || s.attempts - 1 != o.attempt()) {
                continue;
            }
            if (s.mayHaveRun) {
                s.keyUntil += settings.classes().get(s.message.cls()).keyWindowNs();
            }
            adopted.add(s.id());
            takenBack(s);
            facade.take(clock.now(), s);
            long start = clock.now() - o.agoNs();
            facade.adopt(clock.now(), s, o.host(), start);
            out(s.message.destination(), 1);
            s.leg = new Leg(s, o.attempt(), o.host(), start);
            s.out = () -> abandon.accept(o);
            Leg leg = s.leg;   // told in time even where the other process falls silent
            loop.at(Math.max(clock.now(), s.message.deadline() - TELLING_NS / 2), () -> unheard(s, leg));
        }
    }

    /** The other process tells of a call that it had out. */
    public void passed(Passed p) {
        Stream s = streams.get(p.id());
        if (p.late()) {
            Leg leg = s == null ? null : s.leg;
            if (leg != null && leg.number == p.attempt()) {
                leg.answeredLate(p.end());
            } else {
                facade.reportLate(clock.now(), p.host(), p.end());
                answered();
            }
        } else if (s != null && s.out != null && s.leg.number == p.attempt() && adopted.remove(p.id())) {
            s.leg.ended(p.end());
        }
    }

    /** The other process has gone: the calls that it has not told of may have run. */
    public void unheard() {
        List.copyOf(adopted).forEach(id -> {
            Stream s = streams.get(id);
            if (s != null) {
                unheard(s, s.leg);
            }
        });
        adopted.clear();
    }

    private void unheard(Stream s, Leg leg) {
        if (s.out != null && s.leg == leg && adopted.remove(s.id())) {
            leg.ended(UpstreamRequest.End.unanswered(UpstreamRequest.Progress.WRITTEN, UpstreamRequest.Status.ABANDONED));   // its host did nothing
        }
    }

    /** Nobody looked at the network for so long; what had arrived meanwhile has been read. */
    public void away(long ns) {
        facade.away(clock.now(), ns);
        turn();
    }

    /**
     * Takes a stream on, or gives its final answer at once: null means taken on, or held already. What ends here
     * is not told to the front again. While the thread is late it is taken on without a decision, which follows.
     */
    public Answer take(Stream.Message message) {
        return take(message, List.of());
    }

    /** The same, of a message that may be known by further keys too: a copy waits for the end of the first, or gets it. */
    public Answer take(Stream.Message message, List<String> also) {
        if (successor != null) {   // it was not passed on; nothing was taken
            return Answer.refused(ROOM_AGAIN_NS);
        }
        Answer known = journal.answer(message.id());
        if (known != null || holds(message.id())) {
            return known;
        }
        if (!message.same().isEmpty() || !also.isEmpty()) {
            known = copies.answerOf(message.same(), also);
            Stream first = known == null ? copies.first(message.same(), also) : null;
            if (known != null || first != null) {
                return known != null ? known : room() && copies.join(message, first) ? null : turnedAway(message);
            }
        }
        Stream s = new Stream(message);
        if (!facade.serves(clock.now(), message.destination()) || !room() || !journal.taken(message)) {
            return turnedAway(message);
        }
        streams.put(s.id(), s);
        if (!message.same().isEmpty()) {
            copies.leads(s);
        }
        facade.take(clock.now(), s);
        turn();
        s.owned = s.answer == null;
        return s.answer;
    }

    private Answer turnedAway(Stream.Message message) {
        Answer answer = Answer.refused(ROOM_AGAIN_NS);
        if (message.destination() != NOWHERE) {   // that is the program's own, at its start
            figures.ended(message.cls(), answer);
        }
        return answer;
    }

    private boolean room() {
        return streams.size() + copies.size() < settings.mostHeld();
    }

    /** Whether that message is under way, or its end is remembered. */
    public boolean knows(String id) {
        return holds(id) || journal.answer(id) != null;
    }

    /** Whether a message with one of these keys is under way, or its end is remembered. */
    public boolean knows(String same, List<String> also) {
        return copies.first(same, also) != null || copies.answerOf(same, also) != null;
    }

    /** Whether that stream is held and not ended. */
    public boolean holds(String id) {
        return streams.containsKey(id) || copies.waits(id);
    }

    /** Messages that may be held at once. */
    public int mostHeld() {
        return settings.mostHeld();
    }

    /** From now on the calls out are counted by destination too. */
    public void countOut() {
        outs = outs == null ? new HashMap<>() : outs;
    }

    /** Calls out to a destination, where they are counted. */
    public int out(long destination) {
        int[] n = outs == null ? null : outs.get(destination);
        return n == null ? 0 : n[0];
    }

    private void out(long destination, int more) {
        out += more;
        if (outs != null) {
            int[] n = outs.computeIfAbsent(destination, d -> new int[1]);
            n[0] = Math.max(0, n[0] + more);   // those that were out before the counting began
            if (n[0] == 0) {
                outs.remove(destination);
            }
        }
    }

    /** The front has told the client the answer; nothing is owed any more. */
    public void told(String id) {
        journal.told(id);
    }

    /** The process ends at that time: what is out is settled, nothing is begun that would hardly be. */
    public void closing(long end) {
        facade.closing(clock.now(), end);
        turn();
    }

    /** How each destination stands, for those who share it. */
    public void breakers(BiConsumer<Long, Sender.Breaker> each) {
        facade.breakers(clock.now(), each);
    }

    /** What others say of a destination: it weighs own failures, and decides nothing by itself. */
    public void advise(long destination, double doubt, double trying) {
        facade.advise(clock.now(), destination, doubt, trying);
    }

    public int held() {
        return streams.size() + copies.size();
    }

    public int out() {
        return out;
    }

    /**
     * A turn for each answer; while much is taken back, one for all that is read in a pass, since each turn looks at every
     * stream that waits. (At all times it was measured, and cost 0.006 of G on a day of bad clients and spoilt answers.)
     */
    private void answered() {
        if (recovering) {
            turnSoon();
        } else {
            turn();
        }
    }

    private void turnSoon() {
        if (!postponed) {
            postponed = true;
            loop.at(clock.now(), () -> {
                postponed = false;
                turn();
            });
        }
    }

    /** What the module decides now is carried out; after a pause only once all that had arrived is read. */
    private void turn() {
        if (turning || successor != null) {
            return;
        }
        if (loop.late()) {
            turnSoon();
            return;
        }
        turning = true;
        do {   // the next tick is known only after the picking, which may ask for one and do nothing else
            facade.tick(clock.now());
            for (List<Decision> all = picked(); !all.isEmpty(); all = picked()) {
                all.forEach(this::carryOut);
            }
        } while (facade.next() <= clock.now());
        turning = false;
        long next = facade.next();
        if (next < tickAt) {
            long at = next;
            tickAt = at;
            loop.at(at, () -> {
                if (at == tickAt) {   // one that an earlier tick has replaced must not set a timer of its own
                    tickAt = Long.MAX_VALUE;
                    turn();
                }
            });
        }
    }

    /** The next decisions, final answers first: nothing that begins is to delay what is owed. */
    private List<Decision> picked() {
        List<Decision> ends = new ArrayList<>(), others = new ArrayList<>();
        for (Decision d = facade.pick(clock.now()); d != null; d = facade.pick(clock.now())) {
            (d instanceof Decision.End ? ends : others).add(d);
        }
        if (!ends.isEmpty()) {
            ends.forEach(this::carryOut);
            fronts.values().forEach(Front::tell);
        }
        return others;
    }

    private void carryOut(Decision decision) {
        if (decision instanceof Decision.Send d) {
            send(streams.get(d.id()), d.host(), d.answerBy());
        } else if (decision instanceof Decision.Abandon d) {
            Stream s = streams.get(d.id());
            if (s != null && s.out != null && s.attempts - 1 == d.attempt()) {
                s.out.abandon();
            }
        } else if (decision instanceof Decision.End d) {
            end(streams.get(d.id()), d.answer());
        } else if (decision instanceof Decision.CloseIdle d) {
            new ArrayList<>(upstreams.values()).forEach(u -> u.closeIdle(d.host()));
        } else if (decision instanceof Decision.Watch) {
            watch.run();
        }
    }

    /** The journal knows of the attempt before its first byte can leave. */
    private void send(Stream s, String host, long answerBy) {
        if (s == null) {
            return;
        }
        long start = clock.now(), left = s.message.deadline() - start;
        out(s.message.destination(), 1);
        Leg leg = new Leg(s, s.attempts++, host, start);
        s.leg = leg;
        long by = Math.min(answerBy, s.message.deadline() - Math.min(TELLING_NS, Math.max(0, left / 2)));
        if (journal.sent(s.id())) {
            s.out = upstreams.get(s.message.front()).send(s.message, host,
                    Math.min(by, start + settings.connections().timeoutNs()), by, leg);
        } else {   // unrecorded, it must not leave
            loop.at(start, () -> leg.ended(UpstreamRequest.End.unanswered(
                    UpstreamRequest.Progress.NOT_CONNECTED, UpstreamRequest.Status.BROKEN)));
        }
    }

    /** One attempt, as its upstream knows it. */
    final class Leg implements Attempt {
        private final Stream stream;
        private final int number;
        private final String host;
        private final long start;

        Leg(Stream stream, int number, String host, long start) {
            this.stream = stream;
            this.number = number;
            this.host = host;
            this.start = start;
        }

        @Override
        public boolean mayLeave() {
            return successor == null && facade.mayCall(clock.now(), host);
        }

        @Override
        public void written() {
            figures.called(stream.message.cls());
        }

        @Override
        public void ended(UpstreamRequest.End end) {
            stream.out = null;
            out(stream.message.destination(), -1);
            if (successor != null) {
                successor.accept(new Passed(stream.id(), number, host, false, end));
                return;
            }
            journal.result(stream.id(), end.mayHaveRun());
            stream.mayHaveRun |= end.mayHaveRun();
            facade.report(clock.now(), stream.id(), number, host, start, end);
            if (end.status() == UpstreamRequest.Status.DELIVERED) {
                end(stream, Answer.DELIVERED);
            } else if (end.status() == UpstreamRequest.Status.OVER) {
                end(stream, Answer.OVER);
            }
            answered();
        }

        /** The delivery of one that is out again, or has its end, does not count a second time. */
        @Override
        public void answeredLate(UpstreamRequest.End end) {
            if (successor != null) {
                successor.accept(new Passed(stream.id(), number, host, true, end));
                return;
            }
            facade.reportLate(clock.now(), host, end);
            boolean over = end.status() == UpstreamRequest.Status.DELIVERED || end.status() == UpstreamRequest.Status.OVER;
            if (over && stream.out == null && streams.get(stream.id()) == stream) {
                facade.delivered(clock.now(), stream.id());
                end(stream, end.status() == UpstreamRequest.Status.OVER ? Answer.OVER : Answer.DELIVERED);
            }
            answered();
        }
    }

    private void end(Stream s, Answer decided) {
        if (s == null || s.answer != null) {
            return;
        }
        // with a key, a copy may come as a class that must not run twice: what may have run is not to come again
        boolean unsure = decided.kind() == Answer.Kind.REFUSED && s.mayHaveRun && !s.message.same().isEmpty();
        Answer answer = unsure ? Answer.FAILED : decided;
        s.answer = answer;
        figures.ended(s.message.cls(), answer);
        streams.remove(s.id());
        journal.ended(s.message, answer, s.owned);
        if (s.owned) {
            fronts.get(s.message.front()).ended(s.message, answer);
        }
        if (!s.message.same().isEmpty()) {
            copies.ended(s, answer);
        }
    }
}
