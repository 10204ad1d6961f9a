package elderseam.testkit.emulator;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.testkit.emulator.Scenario.Fault;
import elderseam.testkit.emulator.WorldListener.ClientRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A destination as all dispatchers meet it: a limit on calls a second, endpoints with slots and queues, service times, troubles, and a
 * cold return after one, in which it stands a share of its calls at first and falls over when pushed above a multiple of that.
 */
final class EmulatedDestination {
    private static final long MS = 1_000_000;
    private static final long S = 1_000 * MS;
    private static final double CHANCE = 8; // calls at once that say nothing: they come at random
    private static final long ERROR_NS = 10 * MS;
    private static final long FLAP_NS = S;

    /** What a call gets, so long after it came; {@code ranNs}: after how long the destination acts on it, -1 for never. */
    record Reply(Progress progress, Status status, long afterNs, long waitNs, double left, double perS, long ranNs) {
        static Reply of(Status status, long afterNs, long ranNs) {
            return new Reply(Progress.ANSWERED, status, afterNs, 0, 0, 0, ranNs);
        }
    }

    /** No answer ever comes. */
    static final long NEVER = Long.MAX_VALUE / 4;

    private record Spell(long from, long to, Fault fault, double factor) {}

    final long id;
    final Scenario.Kind kind;
    final String[] endpoints;
    private final long seed;
    private final WorldListener watcher;
    private final List<Spell> spells = new ArrayList<>();
    private final List<PriorityQueue<Long>> busy = new ArrayList<>(); // of each endpoint: when its calls are done
    private double bucket;
    private double load;
    private long bucketAt;
    private long loadAt;
    private long window;
    private long inWindow;
    private long warmFrom = Long.MIN_VALUE / 2;
    private long downUntil;
    private double spare = 1;
    private long spareAt;

    EmulatedDestination(long id, Scenario.Kind kind, long seed, WorldListener watcher) {
        this.id = id;
        this.kind = kind;
        this.seed = seed;
        this.watcher = watcher;
        this.endpoints = new String[kind.endpoints()];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = "d" + id + "e" + i;
            busy.add(new PriorityQueue<>());
        }
        bucket = burst();
    }

    void trouble(long from, long to, Fault fault, double factor) {
        spells.add(new Spell(from, to, fault, factor));
    }

    /** Its trouble is over: it is cold from now on. */
    void returns(long now) {
        warmFrom = now;
        load = 0;
        loadAt = now;
    }

    private Spell spell(long now) {
        for (Spell s : spells) {
            if (now >= s.from && now < s.to) {
                return s;
            }
        }
        return null;
    }

    /** Whether calls that begin now would be served as usual; for policies that may know. */
    boolean well(long now) {
        Spell s = spell(now);
        return now >= downUntil && (s == null || s.fault == Fault.SLOW);
    }

    /** Calls a second that it stands now. */
    double stands(long now) {
        double warm = kind.coldMs() == 0 ? 1 : Math.min(1, (double) (now - warmFrom) / (kind.coldMs() * MS));
        return kind.callsPerSecond() * (kind.coldShare() + (1 - kind.coldShare()) * Math.max(0, warm));
    }

    /** Room for one more call now, taken; or how long until there is: of all dispatchers together, for the policy that knows all. */
    long spare(long now) {
        double rate = stands(now) * 0.98;
        spare = Math.min(Math.max(1, rate / 40), spare + (now - spareAt) / (double) S * rate);
        spareAt = now;
        if (spare < 1) {
            return (long) ((1 - spare) / rate * S);
        }
        spare--;
        return 0;
    }

    private double burst() {
        return Math.max(4, kind.callsPerSecond() / 4);
    }

    /** A call has come to an endpoint. */
    Reply call(long now, int endpoint, ClientRequest m, int attempt) {
        Spell s = spell(now);
        long service = (long) (kind.serviceMs()
                * MS
                * Math.exp(kind.spread() * RandomStreams.normal(seed, m.id(), attempt, 1)
                        - kind.spread() * kind.spread() / 2));
        if (s != null && (s.fault != Fault.FLAP || (now - s.from) / FLAP_NS % 2 == 0)) {
            switch (s.fault) {
                case FAIL, FLAP -> {
                    return new Reply(Progress.NOT_CONNECTED, Status.BROKEN, MS, 0, 0, 0, -1);
                }
                case ERRORS -> {
                    return Reply.of(Status.ERROR, ERROR_NS, -1);
                }
                case SHUT -> {
                    return new Reply(
                            Progress.ANSWERED,
                            Status.OVERLOADED,
                            5 * MS,
                            kind.sendsRetryAfter() ? s.to - now : 0,
                            0,
                            0,
                            -1);
                }
                case HANG -> { // half of what hangs was acted on
                    return Reply.of(
                            Status.TIMED_OUT, NEVER, RandomStreams.unit(seed, m.id(), attempt, 5) < 0.5 ? service : -1);
                }
                case SILENT -> {
                    return new Reply(Progress.NOT_CONNECTED, Status.TIMED_OUT, NEVER, 0, 0, 0, -1);
                }
                case HALF_OPEN -> {
                    return Reply.of(Status.TIMED_OUT, NEVER, service);
                }
                default -> service = (long) (service * s.factor);
            }
        }
        if (now < downUntil) {
            return Reply.of(Status.ERROR, ERROR_NS, -1);
        }
        if (pushedOver(now)) {
            return Reply.of(Status.ERROR, ERROR_NS, -1);
        }
        long wait = limited(now);
        if (wait > 0) {
            return new Reply(
                    Progress.ANSWERED,
                    Status.OVERLOADED,
                    5 * MS,
                    kind.sendsRetryAfter() ? wait : 0,
                    0,
                    reported(m, attempt),
                    -1);
        }
        long queued = kind.slots() == 0 ? 0 : queued(now, busy.get(endpoint), service);
        if (queued < 0) {
            return Reply.of(Status.NO_SLOT, 2 * MS, -1);
        }
        if (RandomStreams.unit(seed, m.id(), attempt, 4) < kind.errorShare()) {
            return Reply.of(Status.ERROR, ERROR_NS, -1);
        }
        return new Reply(
                Progress.ANSWERED,
                Status.DELIVERED,
                queued + service,
                0,
                left(),
                reported(m, attempt),
                queued + service);
    }

    /** While it warms up it stands less, and falls over for a time when pushed above a multiple of that. */
    private boolean pushedOver(long now) {
        if (now - warmFrom >= kind.coldMs() * MS) {
            return false;
        }
        double fells = kind.collapseMultiple() * stands(now);
        load = Math.max(0, load - Math.max(0, now - loadAt) / (double) S * fells) + 1;
        loadAt = now;
        if (load <= Math.max(CHANCE, fells)) {
            return false;
        }
        downUntil = now + kind.collapseMs() * MS;
        returns(downUntil);
        watcher.collapsed(now, id);
        return true;
    }

    /** How long to stay away, or 0 where the limit lets the call pass. */
    private long limited(long now) {
        switch (kind.limit()) {
            case RATE -> {
                bucket = Math.min(burst(), bucket + Math.max(0, now - bucketAt) / (double) S * kind.callsPerSecond());
                bucketAt = Math.max(bucketAt, now);
                boolean passes = bucket >= 1;
                bucket -= passes ? 1 : kind.countsRefusedCalls() ? Math.min(1, bucket + burst()) : 0;
                return passes ? 0 : Math.max(50 * MS, (long) ((1 - bucket) / kind.callsPerSecond() * S));
            }
            case WINDOW -> {
                long number = now / (kind.windowMs() * MS);
                inWindow = number == window ? inWindow : 0;
                window = number;
                boolean passes = inWindow < Math.max(1, kind.callsPerSecond() * kind.windowMs() / 1_000);
                inWindow += passes || kind.countsRefusedCalls() ? 1 : 0;
                return passes ? 0 : Math.max(MS, (number + 1) * kind.windowMs() * MS - now);
            }
            default -> {
                return 0;
            }
        }
    }

    /** How long it waits for a slot; -1 where the queue is full. */
    private long queued(long now, PriorityQueue<Long> ends, long service) {
        while (!ends.isEmpty() && ends.peek() <= now) {
            ends.poll();
        }
        if (ends.size() >= kind.slots() + kind.queueLength()) {
            return -1;
        }
        long start = now;
        if (ends.size() >= kind.slots()) { // as many must end first as are above the slots
            List<Long> order = new ArrayList<>(ends);
            order.sort(null);
            start = order.get(ends.size() - kind.slots());
        }
        ends.add(start + service);
        return start - now;
    }

    private double left() {
        return kind.reportsLimit() ? Math.max(0.001, Math.min(1, bucket / burst())) : 0;
    }

    private double reported(ClientRequest m, int attempt) {
        return kind.reportsLimit()
                ? kind.callsPerSecond()
                        * Math.max(0.1, 1 + kind.reportNoise() * RandomStreams.normal(seed, m.id(), attempt, 7))
                : 0;
    }
}
