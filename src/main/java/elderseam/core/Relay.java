package elderseam.core;

import elderseam.module.Sender;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Takes streams on, carries out what the module decides and sees to it that each ends once. Owned by one thread;
 * nothing here blocks.
 */
public final class Relay {
    /** Runs a task on the owning thread, at that time or soon after. */
    public interface Timers {
        void at(long time, Runnable task);
    }

    private static final long ROOM_AGAIN_NS = 1_000 * Clock.MS;

    private final Sender.Settings settings;
    private final Facade facade;
    private final Journal journal;
    private final Clock clock;
    private final Timers timers;
    private final Map<Byte, Front> fronts = new HashMap<>();
    private final Map<Byte, Upstream> upstreams = new HashMap<>();
    private final Map<String, Stream> streams = new HashMap<>();
    private Runnable watch = () -> { };
    private boolean turning;
    private long tickAt = Long.MAX_VALUE;
    private int out;

    public Relay(Sender.Settings settings, long seed, Journal journal, Clock clock, Timers timers) {
        this.settings = settings;
        this.journal = journal;
        this.clock = clock;
        this.timers = timers;
        this.facade = new Facade(settings, seed, words -> System.err.println("module: " + words));
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
        facade.report(clock.now(), kind, hosts);
        turn();
    }

    /** Takes back what the journal holds unfinished; answers that were still owed go to their fronts. */
    public void restore() {
        List<Stream> back = journal.unfinished();
        for (Stream s : back) {
            if (s.mayHaveRun) {
                s.keyUntil += settings.classes().get(s.message.cls()).keyWindowNs();
            }
            s.owned = true;
            streams.put(s.id(), s);
            facade.take(clock.now(), s);
        }
        journal.owed().forEach((message, answer) -> fronts.get(message.front()).ended(message, answer));
        turn();
    }

    /**
     * Takes a stream on, or gives its final answer at once: null means taken on, or held already. What ends here
     * is not told to the front again.
     */
    public Answer take(Stream.Message message) {
        Answer known = journal.answer(message.id());
        if (known != null || streams.containsKey(message.id())) {
            return known;
        }
        Stream s = new Stream(message);
        if (!facade.serves(clock.now(), message.destination()) || streams.size() >= settings.mostHeld()
                || !journal.taken(message)) {
            return Answer.refused(ROOM_AGAIN_NS);
        }
        streams.put(s.id(), s);
        facade.take(clock.now(), s);
        turn();
        s.owned = s.answer == null;
        return s.answer;
    }

    /** Whether that stream is held and not ended. */
    public boolean holds(String id) {
        return streams.containsKey(id);
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

    public int held() {
        return streams.size();
    }

    public int out() {
        return out;
    }

    private void turn() {
        if (turning) {
            return;
        }
        turning = true;
        do {   // the next tick is known only after the picking, which may ask for one and do nothing else
            facade.tick(clock.now());
            for (Decision d = facade.pick(clock.now()); d != null; d = facade.pick(clock.now())) {
                carryOut(d);
            }
        } while (facade.next() <= clock.now());
        turning = false;
        long next = facade.next();
        if (next < tickAt) {
            long at = next;
            tickAt = at;
            timers.at(at, () -> {
                if (at == tickAt) {   // one that an earlier tick has replaced must not set a timer of its own
                    tickAt = Long.MAX_VALUE;
                    turn();
                }
            });
        }
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
        int attempt = s.attempts++;
        long start = clock.now();
        out++;
        long connectBy = Math.min(answerBy, start + settings.connections().timeoutNs());
        Consumer<UpstreamRequest.End> ended = end -> {
            out--;
            s.out = null;
            journal.result(s.id(), end.mayHaveRun());
            s.mayHaveRun |= end.mayHaveRun();
            facade.report(clock.now(), s.id(), attempt, host, start, end);
            if (end.status() == UpstreamRequest.Status.DELIVERED) {
                end(s, Answer.DELIVERED);
            } else if (end.status() == UpstreamRequest.Status.OVER) {
                end(s, Answer.OVER);
            }
            turn();
        };
        if (journal.sent(s.id())) {
            s.out = upstreams.get(s.message.front()).send(s.message, host, connectBy, answerBy, ended);
        } else {   // unrecorded, it must not leave
            timers.at(start, () -> ended.accept(UpstreamRequest.End.unanswered(
                    UpstreamRequest.Progress.NOT_CONNECTED, UpstreamRequest.Status.BROKEN)));
        }
    }

    private void end(Stream s, Answer answer) {
        if (s == null || s.answer != null) {
            return;
        }
        s.answer = answer;
        streams.remove(s.id());
        journal.ended(s.message, answer, s.owned);
        if (s.owned) {
            fronts.get(s.message.front()).ended(s.message, answer);
        }
    }
}
