package elderseam.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** What a sender keeps count of: plain state, no decisions. DispatchPolicy owns and changes all of it. */
final class Books {
    private Books() {}

    /** One call out: a ticket and a slot, shared by the messages of a batch. */
    static final class Call {
        final DispatchPolicy.Circuit circuit;
        final Target target;
        final long start;
        final long turn;
        final long answeredBefore;
        final List<Held> messages = new ArrayList<>(1);
        int pending;
        boolean recorded;
        boolean overdue;
        boolean hopeless;
        boolean lost;
        boolean cut;
        long unseen; // time since its start in which nobody looked for an answer
        long idleNs; // how long its connection had idled before; 0: new or in use

        Call(DispatchPolicy.Circuit circuit, Target target, long start, long turn, long answeredBefore) {
            this.circuit = circuit;
            this.target = target;
            this.start = start;
            this.turn = turn;
            this.answeredBefore = answeredBefore;
        }
    }

    private static final double PROMISE = 0.3, KEPT = 0.3; // of the worth, of the time

    /** A message taken and not finished, or finished with attempts still out. */
    static final class Held {
        final Sender.Message msg;
        final Sender.MessageClass cls;
        final Destination dest;
        final Lane lane;
        final double worth;
        final long born;
        final long seq;
        final Map<Integer, Call> out = new HashMap<>(2);
        int attempts;
        boolean over;
        boolean maybeRan;
        int keyZone;
        long keyUntil;
        long notBefore;
        Target last;
        double index;
        long fresh; // the turn that decides first on it: before that its client knows nothing of it

        /** Whether it came in this turn and waits, and others do for the same destination. */
        boolean crowded(long turn) {
            return fresh == turn && dest.waiting.size() > 1 && dest.waiting.contains(this);
        }

        /**
         * What giving it up costs besides its own worth: it was taken on, has surely not run and is not late yet. The platform prices
         * that so (0.3 of the worth before seven tenths of the time), and so would its client.
         */
        double promise(long now, long turn) {
            return fresh < turn && !maybeRan && msg.deadline() - now > KEPT * cls.deadlineNs() ? PROMISE * worth : 0;
        }

        double worthAt(long at, Sender.Settings settings) {
            if (at >= msg.deadline()) {
                return 0;
            }
            double late = Math.max(0, (double) (at - born - cls.aimNs()) / cls.aimNs());
            if (settings.worthHalves()) {
                return worth * Math.max(cls.lateWorth(), Math.pow(0.5, late));
            }
            double span = (double) (cls.deadlineNs() - cls.aimNs()) / cls.aimNs();
            return worth * (1 - (1 - cls.lateWorth()) * Math.min(1, late / Math.max(1e-9, span)));
        }

        Held(Sender.Message msg, Sender.MessageClass cls, Destination dest, Lane lane, double worth, long seq) {
            this.msg = msg;
            this.cls = cls;
            this.dest = dest;
            this.lane = lane;
            this.worth = worth;
            this.born = msg.deadline() - cls.deadlineNs();
            this.seq = seq;
        }
    }

    /** A call that another process of this sender has out: it holds ticket, slot and trial as one of its own would. */
    static void adopt(Held m, Call call) {
        call.messages.add(m);
        call.pending = 1;
        call.target.out++;
        call.circuit.out.add(call);
        if (call.circuit.state == DispatchPolicy.State.HALF_OPEN && call.circuit.trial == null) {
            call.circuit.trial = call;
        }
        m.out.put(m.attempts - 1, call);
        m.last = call.target;
        m.dest.waiting.remove(m);
    }

    /** The endpoints with all that is known of them; {@code add} makes one that is read. */
    static void carry(Sender.Ledger l, Map<String, Target> targets, Function<Sender.Endpoint, Target> add) {
        List<Target> all = new ArrayList<>(targets.values());
        long count = l.whole(all.size());
        Set<DispatchPolicy.Circuit> carried = new HashSet<>();
        for (int i = 0; i < count; i++) {
            Target own = i < all.size() ? all.get(i) : null;
            String address = l.text(own == null ? "" : own.address);
            long dest = l.whole(own == null ? 0 : own.dest.id), kind = l.whole(own == null ? 0 : own.dest.kindNo);
            long zone = l.whole(own == null ? 0 : own.zone);
            Target t = own != null
                    ? own
                    : add.apply(new Sender.Endpoint(address, dest, (int) kind, (int) zone, Sender.Listing.READY, 0));
            t.carry(l);
            if (carried.add(t.circuit)) {
                carry(t.circuit, l);
            }
        }
    }

    private static void carry(DispatchPolicy.Circuit c, Sender.Ledger l) {
        c.state = DispatchPolicy.State.values()[(int) l.whole(c.state.ordinal())];
        c.byHang = l.flag(c.byHang);
        long opens = l.time(c.openUntil), waits = l.time(c.waitUntil);
        c.openUntil =
                opens > waits ? opens : l.ends(opens); // asleep for a told wait alone, it wakes with the wait's end
        c.waitUntil = l.ends(waits);
        c.lastGood = l.time(c.lastGood);
        c.goodStart = l.time(c.goodStart);
        c.runFrom = l.time(c.runFrom);
        c.downFrom = l.time(c.downFrom);
        c.run = (int) l.whole(c.run);
        c.usual = l.real(c.usual);
        c.recent = l.real(c.recent);
        c.weight = l.real(c.weight);
        c.norm = l.real(c.norm);
        c.cutWeight = l.real(c.cutWeight);
        c.pace = l.real(c.pace);
        c.level = l.real(c.level);
        c.sick = l.real(c.sick);
        c.refilled = l.time(c.refilled);
        c.pauseUntil = l.ends(l.time(c.pauseUntil));
        c.pause = l.whole(c.pause);
        c.lastCut = l.time(c.lastCut);
        c.lastFull = l.time(c.lastFull);
        c.lastBad = l.time(c.lastBad);
        c.rampFrom = l.time(c.rampFrom);
        c.ramping = l.flag(c.ramping);
        c.told = l.flag(c.told);
        c.room = l.flag(c.room);
        c.window.carry(l);
    }

    /** By kind: how long idle connections are kept, and until when that holds. */
    static void carry(Sender.Ledger l, long[] keepNs, long[] keepUntil) {
        for (int k = 0; k < keepNs.length; k++) {
            keepNs[k] = l.whole(keepNs[k]);
            keepUntil[k] = l.time(keepUntil[k]);
        }
    }

    /** The messages of one order key, in the order taken. */
    static final class Lane {
        final ArrayDeque<Held> queue = new ArrayDeque<>();
        int out;
        long restUntil;
    }

    private static final double MOST_GAP_NS = 1e9; // between two calls to a cold endpoint

    /** A listed endpoint. */
    static final class Target {
        final String address;
        final int zone;
        final DispatchPolicy.Circuit circuit;
        final Destination dest;
        boolean ready;
        boolean gone; // no longer listed; forgotten once nothing is out there
        double bias; // this sender's own liking for it
        boolean outside; // of its subset
        int out;
        long usedAt = Long.MIN_VALUE / 2; // last call ended
        final int[] failures; // by class of message
        final long[] restUntil;
        Call batch;

        private final long coldNs;
        private boolean served; // was listed before: one that first comes as draining has served, too
        long coldFrom, nextCold; // when it came back, and the next call there while it is cold

        Target(String address, int zone, Destination dest, DispatchPolicy.Circuit circuit, Sender.Settings settings) {
            this.address = address;
            this.dest = dest;
            this.zone = zone;
            this.circuit = circuit;
            this.failures = new int[settings.classes().size()];
            this.restUntil = new long[settings.classes().size()];
            this.coldNs = settings.coldNs();
        }

        /** What is ready again after it was not may have been started anew: it counts as cold, and so does its destination
         *  where no other endpoint of it is ready. */
        void listed(boolean nowReady, long now) {
            if (nowReady && !ready && served) {
                coldFrom = now;
                if (dest.targets.stream().noneMatch(t -> t.ready)) {
                    circuit.warmUp(now);
                }
            }
            ready = nowReady;
            served = true;
        }

        private void carry(Sender.Ledger l) {
            ready = l.flag(ready);
            gone = l.flag(gone);
            served = true;
            bias = l.real(bias);
            usedAt = l.time(usedAt);
            coldFrom = l.time(coldFrom);
            nextCold = l.time(nextCold);
            for (int k = 0; k < failures.length; k++) {
                failures[k] = (int) l.whole(failures[k]);
                restUntil[k] = l.time(restUntil[k]);
            }
        }

        boolean cold(long now) {
            return coldFrom != 0 && now - coldFrom < coldNs;
        }

        /** A call begins at a cold one; {@code rate}: what its destination stands while as cold, of which it has its part. */
        void called(long now, double rate) {
            nextCold = now + (long) Math.min(MOST_GAP_NS, 1e9 * dest.targets.size() / rate);
        }

        /** Whether nothing is sent there now: by the list, by hand, asleep or in a told wait. */
        private boolean avoided(long now) {
            return !ready
                    || now < circuit.waitUntil
                    || circuit.state == DispatchPolicy.State.OPEN && now < circuit.openUntil;
        }
    }

    static Sender.Listed listed(Collection<Target> targets, long now) {
        int listed = 0, down = 0;
        for (Target t : targets) {
            listed += t.gone ? 0 : 1;
            down += !t.gone && t.avoided(now) ? 1 : 0;
        }
        return new Sender.Listed(listed, down);
    }

    /** What each tenant has left of its share. */
    static final class Tenants {
        private final Sender.Settings settings;
        private final double[] level;
        private long refilled;

        Tenants(Sender.Settings settings, long now) {
            this.settings = settings;
            this.level = settings.tenantRates().stream()
                    .mapToDouble(rate -> 2 * rate / settings.senders())
                    .toArray();
            this.refilled = now;
        }

        void carry(Sender.Ledger l) {
            for (int i = 0; i < level.length; i++) {
                level[i] = l.real(level[i]);
            }
        }

        /** The worth of a message of that tenant now: full within its share. */
        double share(long now, int tenant, int senders) {
            double dt = (now - refilled) / 1e9;
            refilled = now;
            for (int i = 0; i < level.length; i++) {
                double rate = settings.tenantRates().get(i) / senders;
                level[i] = Math.min(5 * rate, level[i] + rate * dt);
            }
            if (tenant < 0 || tenant >= level.length) {
                return 1;
            }
            if (level[tenant] >= 1) {
                level[tenant]--;
                return 1;
            }
            return settings.overShareWorth();
        }
    }

    static final class Destination {
        final long id;
        final RetryBudget retries = new RetryBudget();
        Sender.Kind kind; // as listed; while it is not, what the first kind says
        int kindNo;
        final List<Target> targets = new ArrayList<>();
        final List<DispatchPolicy.Circuit> circuits = new ArrayList<>();
        final List<Held> waiting = new ArrayList<>();
        boolean busy;
        long bareFrom; // when its last endpoint left

        Destination(long id, Sender.Kind kind, long now) {
            this.id = id;
            this.kind = kind;
            this.bareFrom = now;
        }

        /** Open where all of its circuits are, closed where one is: what a call meets. */
        Sender.Breaker breaker(long now) {
            int calls = 0, failed = 0, closed = 0, open = 0;
            long wait = 0;
            for (DispatchPolicy.Circuit c : circuits) {
                int[] seen = c.window.seen(now); // without moving it: who looks must change nothing
                calls += seen[0];
                failed += seen[1];
                wait = Math.max(wait, c.waitUntil - now);
                closed += c.state == DispatchPolicy.State.CLOSED ? 1 : 0;
                open += c.state == DispatchPolicy.State.OPEN && now < c.openUntil ? 1 : 0;
            }
            return new Sender.Breaker(
                    closed > 0 || circuits.isEmpty()
                            ? Sender.Standing.CLOSED
                            : open == circuits.size() ? Sender.Standing.OPEN : Sender.Standing.HALF_OPEN,
                    calls,
                    failed,
                    wait);
        }

        Destination advised(double doubt, double trying) {
            for (DispatchPolicy.Circuit c : circuits) {
                c.doubt = doubt;
                c.trying = trying;
            }
            return this;
        }
    }

    /** Counts of calls and failures over the newest buckets of time. */
    static final class Window {
        private final long bucketNs;
        private final int[] calls;
        private final int[] failed;
        private int allCalls;
        private int allFailed;
        private long at = Long.MIN_VALUE;

        Window(int buckets, long bucketNs) {
            this.bucketNs = bucketNs;
            this.calls = new int[buckets];
            this.failed = new int[buckets];
        }

        /** By age, since the buckets of another clock begin elsewhere. */
        void carry(Sender.Ledger l) {
            boolean begun = l.flag(at != Long.MIN_VALUE);
            if (!begun) {
                return;
            }
            long newest = Math.floorDiv(l.time(at == Long.MIN_VALUE ? 0 : at * bucketNs + bucketNs / 2), bucketNs);
            allCalls = 0;
            allFailed = 0;
            for (int age = 0; age < calls.length; age++) {
                int i = (int) Math.floorMod(newest - age, (long) calls.length);
                calls[i] = (int) l.whole(calls[i]);
                failed[i] = (int) l.whole(failed[i]);
                allCalls += calls[i];
                allFailed += failed[i];
            }
            at = newest;
        }

        /** Moves to the bucket of {@code now}; the number of buckets moved by, at most all and one. */
        int roll(long now) {
            long to = Math.floorDiv(now, bucketNs);
            long from = Math.max(at, to - calls.length - 1);
            for (long b = from + 1; b <= to; b++) {
                int i = (int) Math.floorMod(b, (long) calls.length);
                allCalls -= calls[i];
                allFailed -= failed[i];
                calls[i] = 0;
                failed[i] = 0;
            }
            at = Math.max(at, to);
            return (int) Math.max(0, to - from);
        }

        void count(boolean failure) {
            int i = (int) Math.floorMod(at, (long) calls.length);
            calls[i]++;
            failed[i] += failure ? 1 : 0;
            allCalls++;
            allFailed += failure ? 1 : 0;
        }

        /** Calls and failures that will be left once it has moved to {@code now}. */
        int[] seen(long now) {
            int[] sum = new int[2];
            for (long b = Math.floorDiv(now, bucketNs) - calls.length + 1; b <= at; b++) {
                int i = (int) Math.floorMod(b, (long) calls.length);
                sum[0] += calls[i];
                sum[1] += failed[i];
            }
            return sum;
        }

        void clear() {
            java.util.Arrays.fill(calls, 0);
            java.util.Arrays.fill(failed, 0);
            allCalls = 0;
            allFailed = 0;
        }

        int calls() {
            return allCalls;
        }

        int failed() {
            return allFailed;
        }
    }
}
