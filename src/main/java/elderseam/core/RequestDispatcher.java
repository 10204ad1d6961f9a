package elderseam.core;

import elderseam.policy.BreakerView;
import elderseam.policy.EndpointCounts;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.PolicyEvents;
import elderseam.policy.PolicySettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * Takes streams on, carries out what the module decides and sees to it that each ends once. Owned by one thread;
 * nothing here blocks.
 */
public final class RequestDispatcher {
    /** A destination that no list has: what is to go there is never taken on, whatever any rule says. */
    public static final long NOWHERE = 999_999_999_999_999_999L;

    static final long ROOM_AGAIN_NS = 1_000 * Clock.MS;
    /** Kept of a stream's time to tell its end in: a thread that is late for so long still tells it in time. */
    static final long TELLING_NS = 80 * Clock.MS;

    private static final long LOOK_NS = 5 * Clock.MS;

    private final PolicySettings settings;
    private final PolicyFacade facade;
    private final Journal journal;
    private final Clock clock;
    private final EventLoop loop;
    private final Map<Byte, Frontend> fronts = new HashMap<>();
    private final Map<String, ActiveRequest> streams = new HashMap<>();
    private final DuplicateRequests copies;
    private final OperatorDrains detached;
    private final Metrics figures;
    private final AttemptTracker attempts;
    private final Handover handover;
    private Runnable watch = () -> {};
    private boolean turning, postponed, recovering;
    private long tickAt = Long.MAX_VALUE;

    public RequestDispatcher(PolicySettings settings, long seed, Journal journal, Clock clock, EventLoop loop) {
        this(settings, seed, journal, clock, loop, words -> System.err.println("module: " + words));
    }

    /** {@code log}: where the module's words go. */
    public RequestDispatcher(
            PolicySettings settings, long seed, Journal journal, Clock clock, EventLoop loop, Consumer<String> log) {
        this.settings = settings;
        this.journal = journal;
        this.clock = clock;
        this.loop = loop;
        this.detached = new OperatorDrains(journal.detached());
        this.figures = new Metrics(settings.classes().size());
        this.copies = new DuplicateRequests(journal, clock, loop, fronts, figures);
        this.facade = new PolicyFacade(settings, seed, log);
        this.attempts = new AttemptTracker(this, settings, facade, journal, clock, loop, figures);
        this.handover = new Handover(this, attempts, facade, journal, clock, loop);
    }

    /** Names a front, and who carries what it took on. */
    public void front(byte number, Frontend front, AttemptSender upstream) {
        fronts.put(number, front);
        attempts.upstream(number, upstream);
    }

    /** {@code watch} is run when news of the list of hosts is wanted. */
    public void onWatch(Runnable watch) {
        this.watch = watch;
    }

    /** The list of hosts, or that it could not be had. */
    public void hosts(ListUpdateKind kind, List<ListedEndpoint> hosts) {
        if (!handover.passedOn()) {
            facade.report(clock.now(), kind, detached.over(kind, hosts));
            turn();
        }
    }

    /** What came of an operator's word on a host. */
    public enum Detaching {
        DONE,
        UNKNOWN,
        NO_ROOM
    }

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
            facade.report(clock.now(), ListUpdateKind.CHANGES, detached.set(host, out));
            turn();
        }
        return Detaching.DONE;
    }

    /** The figures, a line each; {@code classes}: their names. */
    public List<String> figures(List<String> classes) {
        List<String> lines = new ArrayList<>();
        figures.lines(classes, lines);
        EndpointCounts listed = facade.listed(clock.now());
        lines.add("edge_relay.inflight=" + held());
        lines.add("edge_relay.hosts_listed=" + listed.listed());
        lines.add("edge_relay.hosts_down=" + listed.unavailable());
        return lines;
    }

    /**
     * Takes back what the journal holds unfinished, as {@link Recovery} says, with a pass over the sockets between two
     * portions; answers that an earlier process still owed go to their fronts first. {@code ready} is run once, when
     * the process may call itself ready; {@code untold}: answers that the fronts have yet to tell.
     */
    public void recover(IntSupplier untold, Runnable ready) {
        List<ActiveRequest> back = journal.unfinished(handover.adopted());
        back.forEach(this::takenBack);
        copies.recover();
        journal.owed().forEach((message, answer) -> fronts.get(message.front()).ended(message, answer));
        Recovery recovery = new Recovery(back, settings.classes(), settings.slots(), clock.now());
        boolean[] told = new boolean[1];
        loop.at(recovery.latest(), () -> readyOnce(told, ready));
        recover(recovery, untold, told, ready);
    }

    /** One that an earlier process had taken on. */
    void takenBack(ActiveRequest s) {
        if (s.mayHaveRun) {
            s.keyUntil += settings.classes().get(s.message.cls()).keyWindowNs();
        }
        s.owned = true;
        streams.put(s.id(), s);
        if (!s.message.same().isEmpty()) {
            copies.leads(s);
        }
    }

    private void recover(Recovery recovery, IntSupplier untold, boolean[] told, Runnable ready) {
        fronts.values().forEach(Frontend::tell);
        Runnable again = () -> recover(recovery, untold, told, ready);
        if (loop.late()) {
            loop.afterReading(again);
            return;
        }
        long start = clock.now();
        List<ActiveRequest> portion = recovery.next();
        for (ActiveRequest s : portion) {
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
        } else if (recovering) { // answers are under way
            loop.at(clock.now() + LOOK_NS, again);
        }
    }

    private static void readyOnce(boolean[] told, Runnable ready) {
        if (!told[0]) {
            told[0] = true;
            ready.run();
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
    public FinalOutcome take(ActiveRequest.Message message) {
        return take(message, List.of());
    }

    /** The same, of a message that may be known by further keys too: a copy waits for the end of the first, or gets it. */
    public FinalOutcome take(ActiveRequest.Message message, List<String> also) {
        if (handover.passedOn()) { // it was not passed on; nothing was taken
            return FinalOutcome.refused(ROOM_AGAIN_NS);
        }
        FinalOutcome known = journal.answer(message.id());
        if (known != null || holds(message.id())) {
            return known;
        }
        if (!message.same().isEmpty() || !also.isEmpty()) {
            known = copies.answerOf(message.same(), also);
            ActiveRequest first = known == null ? copies.first(message.same(), also) : null;
            if (known != null || first != null) {
                return known != null ? known : room() && copies.join(message, first) ? null : turnedAway(message);
            }
        }
        ActiveRequest s = new ActiveRequest(message);
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

    private FinalOutcome turnedAway(ActiveRequest.Message message) {
        FinalOutcome answer = FinalOutcome.refused(ROOM_AGAIN_NS);
        if (message.destination() != NOWHERE) { // that is the program's own, at its start
            figures.ended(message.cls(), answer);
        }
        return answer;
    }

    private boolean room() {
        return streams.size() + copies.size() < settings.maxHeld();
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
        return settings.maxHeld();
    }

    /** From now on the calls out are counted by destination too. */
    public void countOut() {
        attempts.countOut();
    }

    /** Calls out to a destination, where they are counted. */
    public int out(long destination) {
        return attempts.out(destination);
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
    public void breakers(BiConsumer<Long, BreakerView> each) {
        facade.breakers(clock.now(), each);
    }

    /** What others say of a destination: it weighs own failures, and decides nothing by itself. */
    public void advise(long destination, double doubt, double trying) {
        facade.advise(clock.now(), destination, doubt, trying);
    }

    /** What this dispatcher's part is of what all do, until told otherwise: as {@link PolicyEvents#share} has it. */
    public void part(int senders, Predicate<String> preferred, double retries) {
        facade.part(clock.now(), senders, preferred, retries);
        turn();
    }

    /** Nothing begins at these hosts for so long, as after a told wait: another dispatcher tries them for the whole fleet. */
    public void defer(List<String> hosts, long ns) {
        hosts.forEach(h -> facade.defer(clock.now(), h, ns));
    }

    /** The work on its way from one process to the next. */
    public Handover handover() {
        return handover;
    }

    /** That stream, or null where it is not held or has ended. */
    ActiveRequest stream(String id) {
        return streams.get(id);
    }

    java.util.stream.Stream<ActiveRequest> streams() {
        return streams.values().stream();
    }

    public int held() {
        return streams.size() + copies.size();
    }

    public int out() {
        return attempts.out();
    }

    /**
     * A turn for each answer; while much is taken back, one for all that is read in a pass, since each turn looks at every
     * stream that waits. (At all times it was measured, and cost 0.006 of G on a day of bad clients and spoilt answers.)
     */
    void answered() {
        if (recovering) {
            turnSoon();
        } else {
            turn();
        }
    }

    /** Timers that came due while another process decided did nothing. */
    void turnAgain() {
        tickAt = Long.MAX_VALUE;
        turn();
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
        if (turning || handover.passedOn()) {
            return;
        }
        if (loop.late()) {
            turnSoon();
            return;
        }
        turning = true;
        do { // the next tick is known only after the picking, which may ask for one and do nothing else
            facade.tick(clock.now());
            for (List<PolicyDecision> all = picked(); !all.isEmpty(); all = picked()) {
                all.forEach(this::carryOut);
            }
        } while (facade.next() <= clock.now());
        turning = false;
        long next = facade.next();
        if (next < tickAt) {
            long at = next;
            tickAt = at;
            loop.at(at, () -> {
                if (at == tickAt) { // one that an earlier tick has replaced must not set a timer of its own
                    tickAt = Long.MAX_VALUE;
                    turn();
                }
            });
        }
    }

    /** The next decisions, final answers first: nothing that begins is to delay what is owed. */
    private List<PolicyDecision> picked() {
        List<PolicyDecision> ends = new ArrayList<>(), others = new ArrayList<>();
        for (PolicyDecision d = facade.pick(clock.now()); d != null; d = facade.pick(clock.now())) {
            (d instanceof PolicyDecision.End ? ends : others).add(d);
        }
        if (!ends.isEmpty()) {
            ends.forEach(this::carryOut);
            fronts.values().forEach(Frontend::tell);
        }
        return others;
    }

    private void carryOut(PolicyDecision decision) {
        if (decision instanceof PolicyDecision.Send d) {
            ActiveRequest s = streams.get(d.id());
            if (s != null) {
                attempts.send(s, d.host(), d.answerBy());
            }
        } else if (decision instanceof PolicyDecision.Abandon d) {
            AttemptTracker.abandon(streams.get(d.id()), d.attempt());
        } else if (decision instanceof PolicyDecision.End d) {
            end(streams.get(d.id()), d.answer());
        } else if (decision instanceof PolicyDecision.CloseIdle d) {
            attempts.closeIdle(d.host());
        } else if (decision instanceof PolicyDecision.Watch) {
            watch.run();
        }
    }

    void end(ActiveRequest s, FinalOutcome decided) {
        if (s == null || s.answer != null) {
            return;
        }
        // with a key, a copy may come as a class that must not run twice: what may have run is not to come again
        boolean unsure = decided.kind() == FinalOutcome.Kind.REFUSED
                && s.mayHaveRun
                && !s.message.same().isEmpty();
        FinalOutcome answer = unsure ? FinalOutcome.FAILED : decided;
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
