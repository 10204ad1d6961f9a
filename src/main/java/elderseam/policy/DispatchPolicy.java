package elderseam.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import elderseam.policy.Books.Call;
import elderseam.policy.Books.Destination;
import elderseam.policy.Books.Held;
import elderseam.policy.Books.Lane;
import elderseam.policy.Books.Target;
import elderseam.policy.Books.Window;

/**
 * The decisions of one sender; its interface is in Sender.java. A circuit breaker for each destination (each
 * route where routes are apart) decides the ordinary path: closed, it lends tickets from a pool; tripped, it
 * sleeps while messages park; then one live trial closes it or sends it back to sleep. What else acts, and
 * when, stands at each constant and in docs/design.md.
 */
public final class DispatchPolicy implements Sender.Events {
    // --- breaker (the design's own figures)
    private static final long BUCKET_NS = 1_000_000_000L;     // one bucket of outcomes
    private static final int BUCKETS = 10;                    // buckets that count towards a trip
    private static final int FLOOR = 20;                      // calls below which the share is not judged,
    private static final int OFF = 12;                        // so many of them less at full doubt
    private static final double TRIP_SHARE = 0.5;             // failures among calls that trip
    private static final long SLEEP_NS = 2_000_000_000L;      // sleeping window before the first trial
    private static final double LENGTHEN = 2;                 // times the outage so far that is added
    // --- a run without a success trips below the floor: small senders never gather FLOOR calls
    private static final int RUN = 4;                         // failures in a row
    private static final double SICK = 0.3;                   // weight of the last call in its failing share
    // --- slow and hung calls
    private static final long OVERDUE_NS = 1_000_000_000L;    // no call is called overdue before this age
    private static final double OVERDUE = 5;                  // times the usual time of the destination
    private static final double OVERDUE_LOSSY = 3.5;          // the same while answers are known to get lost
    private static final double HOPELESS = 2;                 // times overdue: an unsafe call is given up too
    private static final double LOSSY = 0.05, LOSSES = 3;     // share and number of calls lost that say so
    private static final int HUNG = 2, HUNG_LOSSY = 5;        // overdue calls, no success since, that trip
    private static final int LOST = 2;                        // answers to others that show one to be lost
    private static final double STALE = 0.5;                  // usual times until a dead connection shows
    private static final long STALE_NS = 500_000_000L;        // nothing ends a connection that idled for less
    private static final double SLOW = 3;                     // times the usual time: fewer tickets
    private static final double MOST_SLOWDOWN = 4;            // cap on the slowness laid to the whole network
    // --- pace
    private static final double CUT = 0.88;                   // pace kept after a refusal as full
    private static final double CUT_ROOM = 0.3;               // less of it as the refused call had room left
    private static final double GROW = 0.15;                  // growth of a pace in use, a second
    private static final double REGROW = 1.5;                 // the same where a told limit rose since a cut
    private static final double ROSE = 1.5, ROOM = 0.5;       // so many times, and has such a share left
    private static final long FULL_PAUSE_NS = 200_000_000L;   // first pause after "full" without a told wait
    private static final double MOST_CROWD = 30;              // times longer where many senders share it
    private static final double MOST_CROWD_FULL = 5;          // where nothing failed of late: a limit
    private static final double MOST_GROWTH = 30;             // growth of the next pause, likewise
    private static final long MOST_PAUSE_NS = 1_600_000_000L; // it doubles up to this
    private static final double DEPTH_S = 0.5;                // burst that a pace allows, in seconds of it
    private static final double ROUGH = 1.5;                  // a listed weight may be this far off
    private static final double UNTOLD = 3;                   // calls a second laid to one of unknown rate
    private static final double MARGIN = 1.25;                // kept below the multiple that fells a cold one
    // --- time
    private static final long TICK_NS = 5_000_000L;           // no timer is set for less than this
    private static final long MEASURE_NS = 100_000_000L;      // how often the network's pace is taken
    private static final long RETRY_NS = 100_000_000L;        // first back-off after a failure; doubles
    private static final long SUBSCRIBE_NS = 500_000_000L;    // first back-off after a failed subscription
    private static final double PRICED = 50, FAR = 0.03;      // calls a price of 1 outweighs; another zone
    private static final long KEEP_NS = 30_000_000_000L;      // fewer idle connections after one did harm
    private static final double OUTSIDE = 4;                  // more calls out in the subset: go outside
    private static final double LEAST_RETRIES = 2;            // a second, of all senders together
    private static final double CLOSING = 3;                  // usual times left before the end, or no call
    // --- worth
    private static final double LATER = 0.9;                  // weight of the worth one aim later

    enum State { CLOSED, OPEN, HALF_OPEN }

    /** Breaker, tickets and pace of one destination or route. */
    final class Circuit {
        final String name;
        final Window window = new Window(BUCKETS, BUCKET_NS);
        final List<Call> out = new ArrayList<>();   // each holds a ticket
        State state = State.CLOSED;
        Call trial;
        boolean byHang;                             // asleep for want of answers, not for failures
        long openUntil, waitUntil, lastGood, goodStart, runFrom, lateNs, downFrom;
        int run, overdue, batch;
        double usual, recent;                       // time of a delivered call: lasting, and of late
        double weight, norm;                        // calls a second: listed for all, own at most
        double cutWeight;                           // the former when the pace was last cut
        double pace = Double.POSITIVE_INFINITY, level = 1, sick;
        long refilled, pauseUntil, pause, lastCut, lastFull, lastBad, rampFrom;
        double doubt, trying;                       // laid on it by others: 0 to 1; how many will try it
        boolean ramping, idle, told, room;          // told: its limit comes with its answers; room: much left
        long answered;                              // calls delivered so far

        Circuit(String name, long now) {
            this.name = name;
            refilled = lastGood = goodStart = now;
            lastCut = lastFull = now - BUCKETS * BUCKET_NS;
            lastBad = now - settings.coldNs();
        }

        void roll(long now) {
            int moved = window.roll(now);
            if (moved > 0 && state == State.CLOSED && !ramping) {
                double calls = window.calls();   // less the chance in it: rare calls must not look frequent
                norm = Math.max(norm * Math.pow(0.99, moved), (calls - Math.sqrt(calls)) / BUCKETS);
            }
        }

        double usualNs() {
            return usual > 0 ? usual : fleetUsual;
        }

        boolean failing() {
            return 2 * overdue > out.size() || run > 1 || recent > SLOW * slowdown * usualNs();
        }

        /** Tickets: three quarters of the slots at most; a quarter while failing or slow. */
        int pool() {
            return Math.max(1, failing() ? settings.slots() / 4 : settings.slots() * 3 / 4);
        }

        /**
         * The sleeping window. Where a trial from every sender would add up to more than a cold destination
         * stands, it lengthens with the outage, so that the trials of all stay few whatever their number.
         * Covers returns after any outage; costs a later return to work, by twice the outage at the most.
         */
        long sleepNs(long now) {
            double longer = Math.min(SLEEP_NS + LENGTHEN * (now - downFrom), SLEEP_NS * crowd(trying));
            return (long) (longer * (0.75 + 0.5 * random.nextDouble()));
        }

        double rampRate(long now, long from) {
            double base = Math.max(norm, weight / senders);
            double warm = Math.min(1, (double) (now - from) / Math.max(1, settings.coldNs()));
            base = base > 0 ? base : UNTOLD / senders;
            base *= Math.max(1, settings.fallMultiple() / MARGIN);
            return base * (settings.coldShare() + (1 - settings.coldShare()) * warm);
        }

        double rate(long now) {
            if (ramping && now - rampFrom >= settings.coldNs()) {
                ramping = false;
            }
            return ramping ? Math.min(pace, rampRate(now, rampFrom)) : pace;
        }

        void refill(long now) {
            double rate = rate(now), dt = (now - refilled) / 1e9;
            refilled = now;
            if (level < 1 && now - lastFull > BUCKET_NS && !ramping) {
                double share = weight / senders;
                boolean rose = room && weight > ROSE * cutWeight;
                pace = rose && pace < share ? Math.min(share, pace * Math.exp(REGROW * dt))
                        : pace * Math.exp(GROW * dt);
            }
            level = Double.isInfinite(rate) ? 1
                    : Math.min(Math.max(1, ramping ? 1 : rate * DEPTH_S), level + rate * dt);
            if (now - lastFull > BUCKETS * BUCKET_NS && !Double.isInfinite(pace) && level > 1) {
                pace = Double.POSITIVE_INFINITY;
            }
        }

        /** Moves with the clock: wakes from sleep, sees overdue calls. */
        void tick(long now) {
            roll(now);
            refill(now);
            if (state == State.OPEN && now >= openUntil) {
                state = State.HALF_OPEN;
            }
            overdue = 0;
            double times = (lossy ? OVERDUE_LOSSY : OVERDUE) * slowdown;
            long limit = (long) Math.max(OVERDUE_NS, times * Math.max(usualNs(), recent));
            lateNs = limit + 1;
            for (Call c : out) {
                long late = c.start + c.unseen + limit, hopeless = late + (long) ((HOPELESS - 1) * limit);
                if (now > late && !c.overdue && !stale(c, now)) {
                    blame(c, true, now);
                }
                c.overdue = now > late;
                c.hopeless = now > hopeless;
                if (!c.hopeless) {
                    due((c.overdue ? hopeless : late) + 1);
                }
                if (goodStart > c.start && !c.lost && (c.hopeless || c.cut && lossy)) {
                    c.lost = true;
                    losses.count(true);
                }
                overdue += c.overdue ? 1 : 0;
            }
            if (state == State.CLOSED ? overdue >= (lossy ? HUNG_LOSSY : HUNG) && now - lastGood > limit
                    : state == State.HALF_OPEN && trial != null && trial.overdue) {
                byHang = true;
                trip(now, "hung calls: " + overdue);
            }
        }

        void trip(long now, String cause) {
            state = State.OPEN;
            trial = null;
            downFrom = downFrom == 0 ? now : downFrom;
            openUntil = Math.max(now + sleepNs(now), waitUntil);
            actions.log("open " + name + ": " + cause);
        }

        void close(long now) {
            state = State.CLOSED;
            trial = null;
            byHang = false;
            downFrom = run = 0;
            window.clear();
            warmUp(now);
            actions.log("closed " + name);
        }

        void warmUp(long now) {
            ramping = true;
            rampFrom = refilled = now;
            level = crowd() > 1 ? 1 : 0;   // trials of many are spread: each may go on with one call
        }

        boolean lends(long now) {
            if (now < waitUntil || now < pauseUntil) {
                return false;
            }
            if (state == State.HALF_OPEN) {
                return trial == null;
            }
            return state == State.CLOSED && out.size() < pool() && level >= 1;
        }

        /** When it may lend again without an outcome before. */
        long lendsAt(long now) {
            long at = Math.max(waitUntil, Math.max(pauseUntil, state == State.OPEN ? openUntil : now));
            double rate = rate(now);
            return state != State.CLOSED || level >= 1 || rate <= 0 ? at
                    : Math.max(at, now + (long) ((1 - level) / rate * 1e9) + 1);
        }

        void record(Call call, Sender.Outcome o, long now) {
            window.count(o.result() != Sender.Result.DELIVERED);
            if (o.result() == Sender.Result.DELIVERED) {
                good(call, o, now);
                return;
            }
            if (call.overdue && call.idleNs > 0 || o.result() == Sender.Result.RESET
                    && o.latencyNs() < STALE * usualNs() && stale(call, now)) {
                return;   // the connection's fault
            }
            if (o.result() == Sender.Result.FULL) {
                full(call, o.waitNs(), now);
            } else {
                if (o.result() == Sender.Result.CONNECT_FAILED && crowd() > 1
                        && o.latencyNs() < settings.connections().timeoutNs()) {
                    keep(call.target.dest.kindNo, 0);
                }
                lastBad = now;
                sicken(now);
                runFrom = run == 0 ? now : runFrom;
                run += call.cut ? 0 : 1;   // a cut counts in the share; silence has its own test
                if (crowd() > 1 && lastGood < call.start && o.result() != Sender.Result.ERROR) {
                    backOff(0, now);
                }
                if (!call.overdue) {
                    blame(call, false, now);
                }
            }
            if (state == State.HALF_OPEN) {
                if (call == trial) {
                    trip(now, "trial " + o.result());
                }
            } else if (state == State.CLOSED) {
                if (window.calls() >= FLOOR - OFF * doubt && window.failed() >= TRIP_SHARE * window.calls()) {
                    trip(now, window.failed() + " of " + window.calls() + " failed");
                } else if (run >= RUN - (int) Math.round(2 * doubt)) {
                    trip(now, run + " failures in a row, last " + o.result());
                }
            }
        }

        /**
         * Rests an endpoint for the class that failed or got no answer there, while another can serve it:
         * longer each time, until one of that class is delivered. Other classes neither betray nor clear it.
         */
        private void blame(Call call, boolean silent, long now) {
            Target t = call.target;
            lastBad = now;
            for (Held m : call.messages) {
                int k = m.msg.cls();
                t.failures[k] += silent ? 5 : 1;
                t.restUntil[k] = now + SLEEP_NS / 5 * Math.min(silent ? 25 : 5, t.failures[k]);
            }
        }

        /**
         * Lost on a connection that had idled longer than a call takes: it may have died unseen. Those of the
         * kind are kept half as long from now on, and the destination is not blamed. Costs new ones, so a
         * reset says so only if it came at once: what breaks off in the middle of a call lived until then.
         */
        private boolean stale(Call call, long now) {
            call.idleNs = call.idleNs > Math.max(STALE_NS, usualNs()) ? call.idleNs : 0;
            if (call.idleNs > 0) {
                keep(call.target.dest.kindNo, call.idleNs / 2);
            }
            return call.idleNs > 0;
        }

        private void good(Call call, Sender.Outcome o, long now) {
            double ns = o.latencyNs();
            answered++;
            goodStart = Math.max(goodStart, call.start);
            losses.count(false);
            recent = recent == 0 ? ns : recent + 0.3 * (ns - recent);
            usual = usual == 0 ? ns : usual + 0.05 * (Math.min(ns, SLOW * usual) - usual);
            call.messages.forEach(m -> call.target.failures[m.msg.cls()] = 0);
            call.messages.forEach(m -> call.target.restUntil[m.msg.cls()] = 0);
            if (!seen.contains(call.circuit)) {
                seen.add(call.circuit);
            }
            boolean back = run >= 2 && now - runFrom > BUCKET_NS;
            sick += SICK * (0 - sick);
            run = 0;
            pause = 0;
            lastGood = now;
            if (state == State.HALF_OPEN && call == trial || state != State.CLOSED && byHang) {
                close(now);
            } else if (back && state == State.CLOSED && !ramping) {
                warmUp(now);
            }
        }

        private void full(Call call, long waitNs, long now) {
            lastFull = now;
            backOff(waitNs, now);
            waitUntil = Math.max(waitUntil, now + waitNs);
            if (waitNs > SLEEP_NS && state == State.CLOSED) {
                trip(now, "told to wait " + waitNs / 1_000_000 + " ms");
            }
            if (call.start >= lastCut) {
                double seen = Math.max(norm, (double) (window.calls() - window.failed()) / BUCKETS);
                double share = Math.max(1, Math.max(seen, weight / senders));
                double from = Double.isInfinite(pace) ? share : pace;
                double room = told ? 0 : 1 - (double) call.messages.size() / batch;  // fewer carry the same
                pace = Math.max(0.3, (CUT - CUT_ROOM * room) * from);
                lastCut = now;
                level = Math.min(level, 0);
                cutWeight = weight;
            }
        }

        /** Below the floor: while most of the last calls failed, a shared destination counts as cold. */
        private void sicken(long now) {
            sick += SICK * (1 - sick);
            if (sick >= TRIP_SHARE && crowd() > 1 && state == State.CLOSED) {
                warmUp(now);
                level = 0;
            }
        }

        /** How many times more senders there are than a cold destination stands in a sleeping window. */
        double crowd() {
            return crowd(0);
        }

        double crowd(double trying) {
            double warm = settings.rates() == Sender.Rates.EXACT && weight > 0 ? weight
                    : Math.max(weight > 0 ? weight / ROUGH : UNTOLD, norm * senders);
            double stands = settings.coldShare() * settings.fallMultiple() * warm * SLEEP_NS / 1e9;
            return Math.max(1, Math.max(senders, trying) / stands);
        }

        private void backOff(long waitNs, long now) {
            double crowd = crowd();
            double most = now - lastBad < settings.coldNs() ? MOST_CROWD : MOST_CROWD_FULL;
            double first = FULL_PAUSE_NS * Math.min(most, crowd);
            double next = pause == 0 ? first : pause * (1 + Math.min(MOST_GROWTH, crowd));
            pause = (long) Math.min(MOST_PAUSE_NS * crowd, next);
            double spread = pause * (0.5 + random.nextDouble()) * (waitNs > 0 ? 1 - 1 / crowd : 1);
            if (waitNs > BUCKET_NS && crowd > 1) {   // shut: all were told the same end
                spread = random.nextDouble() * Math.min(SLEEP_NS * crowd, LENGTHEN * waitNs);
            }
            pauseUntil = Math.max(pauseUntil, now + waitNs + (long) spread);
        }

        void report(Sender.Report r, long now) {
            if (r.limitPerS() > 0) {
                weight = r.limitPerS();
                told = true;
                room = r.shareLeft() >= ROOM;
                if (r.shareLeft() < 0.1) {
                    pace = Math.min(pace, Math.max(0.3, r.limitPerS() / senders));
                    lastFull = now;
                    cutWeight = weight;
                }
            }
        }
    }

    private final Sender.Settings settings;
    private final Sender.Actions actions;
    private final SplittableRandom random;
    private final Map<String, Held> held = new LinkedHashMap<>();
    private final Map<Long, Destination> destinations = new HashMap<>();
    private final List<Destination> busy = new ArrayList<>();       // calls out or messages waiting
    private final List<Circuit> seen = new ArrayList<>();                 // delivered something of late
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final Map<Long, Lane> lanes = new HashMap<>();
    private final List<Destination> bare = new ArrayList<>();       // no endpoint is listed
    private final Set<Held> resting = new LinkedHashSet<>();        // the last of their lanes, which rest yet
    private Books.Tenants tenants;
    private final Window losses = new Window(BUCKETS, BUCKET_NS);   // of answers, over all destinations
    private final List<Held> candidates = new ArrayList<>();
    private final List<Target> used = new ArrayList<>();            // calls there ended in this turn
    private final long[] keepNs, keepUntil;                         // by kind: idle connections, until when
    private long subscribeAt;
    private int live, callsOut, subscribeFailures;
    private Held newest;                                            // that came in this turn
    private long turn, seq, measuredAt = Long.MIN_VALUE / 2;
    private double fleetUsual, slowdown = 1;
    private long clock = Long.MIN_VALUE, timerAt = Long.MAX_VALUE, closesAt = Long.MAX_VALUE;
    private long due;                                               // next time something may change
    private boolean subscribed, lossy;
    private int senders;                                            // that share the destinations
    private Predicate<String> preferred = e -> true;                // endpoints of its subset
    private double retries = 1;                                     // after a failure, for each first try

    public DispatchPolicy(Sender.Settings settings, long seed, Sender.Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.senders = settings.senders();
        this.keepNs = new long[settings.kinds().size()];
        this.keepUntil = new long[settings.kinds().size()];
        Arrays.fill(keepUntil, Long.MIN_VALUE);
        fleetUsual = settings.classes().stream().mapToLong(c -> c.aimNs()).min().orElse(0) / 8.0;
    }

    private void advance(long now) {
        if (now < clock) {
            throw new IllegalArgumentException("time went back from " + clock + " to " + now);
        }
        if (clock == Long.MIN_VALUE) {
            subscribeAt = now;
            tenants = new Books.Tenants(settings, now);
        }
        clock = now;
    }

    // ---------------------------------------------------------------- the list of endpoints

    @Override
    public void endpoints(long now, Sender.ListKind kind, List<Sender.Endpoint> entries) {
        advance(now);
        if (kind == Sender.ListKind.FAILED) {
            subscribed = false;
            double wait = SUBSCRIBE_NS * (double) (1 << Math.min(3, subscribeFailures++));
            subscribeAt = now + (long) (wait * (0.75 + 0.5 * random.nextDouble()));
            return;
        }
        if (kind != Sender.ListKind.CACHED) {
            subscribeFailures = 0;
        }
        if (kind != Sender.ListKind.CHANGES) {
            targets.values().forEach(t -> t.gone = true);
        }
        for (Sender.Endpoint e : entries) {
            boolean known = targets.containsKey(e.address());
            Target t = known || e.listing() == Sender.Listing.GONE ? targets.get(e.address()) : add(e, now);
            if (t != null) {
                t.listed(e.listing() == Sender.Listing.READY, now);
                t.gone = e.listing() == Sender.Listing.GONE;
                if (settings.rates() != Sender.Rates.UNTOLD && t.ready) {
                    t.circuit.weight = e.weight();
                }
            }
        }
        targets.values().forEach(t -> t.ready &= !t.gone);
        targets.values().stream().filter(t -> t.gone && t.out == 0).toList().forEach(this::drop);
        bare.removeIf(d -> !d.targets.isEmpty());
        bare.stream().filter(d -> !d.busy && !lately(d)).forEach(d -> destinations.remove(d.id));
        bare.removeIf(d -> !destinations.containsKey(d.id));
    }

    /** One that is gone, and has nothing out, is forgotten; its successor starts anew. */
    private void drop(Target t) {
        targets.remove(t.address);
        t.dest.targets.remove(t);
        if (t.dest.targets.isEmpty()) {
            t.dest.bareFrom = clock;
            bare.add(t.dest);
        }
        if (t.dest.kind.routesApart()) {
            t.dest.circuits.remove(t.circuit);
        }
    }

    /** Whether its last endpoint left so lately that messages for it may still be held. */
    private boolean lately(Destination d) {
        long longest = settings.classes().stream().mapToLong(c -> c.deadlineNs()).max().orElse(0);
        return clock - d.bareFrom <= longest;
    }

    @Override
    public boolean serves(long now, long id) {
        advance(now);
        Destination d = destinations.get(id);
        return d != null && (!d.targets.isEmpty() || lately(d));
    }

    private Destination destination(long id) {
        return destinations.computeIfAbsent(id, i -> new Destination(i, settings.kinds().get(0), clock));
    }

    private Target add(Sender.Endpoint e, long now) {
        Destination d = destination(e.destination());
        d.kindNo = Math.min(e.kind(), settings.kinds().size() - 1);
        d.kind = settings.kinds().get(d.kindNo);
        Circuit c;
        if (d.kind.routesApart() || d.circuits.isEmpty()) {
            c = new Circuit(d.kind.routesApart() ? d.id + "/" + e.address() : Long.toString(d.id), now);
            c.batch = d.kind.batch();
            d.circuits.add(c);
        } else {
            c = d.circuits.get(0);
        }
        Target t = new Target(e.address(), e.zone(), d, c, settings);
        t.bias = random.nextDouble();
        t.outside = !preferred.test(t.address);
        d.targets.add(t);
        targets.put(e.address(), t);
        return t;
    }

    // ---------------------------------------------------------------- messages and outcomes

    @Override
    public void message(long now, Sender.Message msg) {
        advance(now);
        if (held.containsKey(msg.id())) {
            throw new IllegalArgumentException("message " + msg.id() + " is held already");
        }
        Sender.MessageClass cls = settings.classes().get(msg.cls());
        Destination d = destination(msg.destination());
        Lane lane = null;
        if (cls.ordered() && msg.orderKey() >= 0) {
            lane = lanes.computeIfAbsent(msg.orderKey(), k -> new Lane());
        }
        Held m = new Held(msg, cls, d, lane, cls.worth() * tenants.share(now, msg.tenant(), senders), seq++);
        m.fresh = turn + 1;
        newest = m;
        held.put(msg.id(), m);
        live++;
        if (lane != null) {
            lane.queue.add(m);
        }
        park(m);
    }

    @Override
    public void restored(long now, Sender.Message msg, int attempts, boolean maybeRan, long keyUntil) {
        message(now, msg);
        Held m = held.get(msg.id());
        m.fresh = 0;
        m.attempts = attempts;
        m.maybeRan = maybeRan;
        m.keyUntil = keyUntil;
    }

    @Override
    public void adopted(long now, String id, String endpoint, long start) {
        advance(now);
        Target t = targets.get(endpoint);
        Books.adopt(held.get(id), new Call(t.circuit, t, start, turn, t.circuit.answered));
        callsOut++;
    }

    @Override
    public void carry(long now, Sender.Ledger l) {
        advance(now);
        Books.carry(l, targets, e -> add(e, now));
        Books.carry(l, keepNs, keepUntil);
        losses.carry(l);
        tenants.carry(l);
        fleetUsual = l.real(fleetUsual);
    }

    @Override
    public void closing(long now, long end) {
        advance(now);
        closesAt = end;
    }

    private void park(Held m) {
        m.dest.waiting.add(m);
        if (!m.dest.busy) {
            m.dest.busy = true;
            busy.add(m.dest);
        }
    }

    @Override
    public void outcome(long now, Sender.Outcome o) {
        advance(now);
        losses.roll(now);
        Held m = held.get(o.id());
        Call call = m == null ? null : m.out.remove(o.attempt());
        if (call == null) {
            return;
        }
        if (m.lane != null) {
            m.lane.out--;
        }
        Circuit c = call.circuit;
        c.roll(now);
        boolean told = o.result() != Sender.Result.CANCELLED && o.result() != Sender.Result.NOT_SENT;
        if ((told || call.cut && !lossy) && !call.recorded) {
            call.recorded = true;
            c.record(call, o, now);
        }
        c.waitUntil = Math.max(c.waitUntil, now + o.waitNs());
        c.report(o.report(), now);
        if (--call.pending == 0) {
            giveBack(call);
        }
        if (!o.result().neverRan && o.result() != Sender.Result.DELIVERED) {
            ranMaybe(m, call);
            if (m.lane != null && o.result() != Sender.Result.ERROR) {
                m.lane.restUntil = Math.max(m.lane.restUntil, now + settings.keyRestNs());
            }
        }
        if (o.over() || m.over) {
            finish(m);
            return;
        }
        if (o.result() != Sender.Result.FULL && o.result() != Sender.Result.NOT_SENT) {
            boolean again = retries >= 1 || m.dest.retries.again(now, retries, LEAST_RETRIES / senders);
            long wait = again ? RETRY_NS << Math.min(4, m.attempts - 1) : MOST_PAUSE_NS;
            m.notBefore = now + (long) (wait * (0.75 + 0.5 * random.nextDouble()));
        } else if (o.noSlot()) {
            m.notBefore = now + TICK_NS;
        }
        if (m.out.isEmpty()) {
            park(m);
        }
    }

    @Override
    public void heard(long now, String endpoint, long waitNs, Sender.Report report) {
        advance(now);
        Target t = targets.get(endpoint);
        if (t != null) {
            t.circuit.waitUntil = Math.max(t.circuit.waitUntil, now + waitNs);
            t.circuit.report(report, now);
        }
    }

    @Override
    public void unseen(long now, long ns) {
        advance(now);
        busy.forEach(d -> d.circuits.forEach(c -> c.out.forEach(
                call -> call.unseen = Math.min(now - call.start, call.unseen + ns))));
    }

    @Override
    public boolean mayCall(long now, String id, String endpoint) {
        Target t = targets.get(endpoint);
        // a key's window may have ended since the call was decided, its connection taking long
        Held m = held.get(id);
        return t != null && t.ready && now >= t.circuit.waitUntil && m != null && maySend(m, now, t.zone);
    }

    @Override
    public void breakers(long now, BiConsumer<Long, Sender.Breaker> each) {
        targets.values().stream().map(t -> t.dest).distinct().forEach(d -> each.accept(d.id, d.breaker(now)));
    }

    @Override
    public Sender.Listed listed(long now) {
        return Books.listed(targets.values(), now);
    }

    @Override
    public void advised(long now, long id, double doubt, double trying) {
        destinations.computeIfPresent(id, (i, d) -> d.advised(doubt, trying));
    }

    @Override
    public void part(long now, int senders, Predicate<String> preferred, double retries) {
        advance(now);
        this.senders = Math.max(1, senders);
        this.preferred = preferred;
        this.retries = retries;
        targets.values().forEach(t -> t.outside = !preferred.test(t.address));
    }

    private void ranMaybe(Held m, Call call) {
        if (!m.maybeRan) {
            m.maybeRan = true;
            m.keyZone = call.target.zone;
            m.keyUntil = call.start + m.cls.keyWindowNs();
        }
    }

    /** How long idle connections are kept at a kind. */
    private long kept(int kind) {
        return clock < keepUntil[kind] ? keepNs[kind] : settings.connections().idleNs();
    }

    /**
     * Keeps idle connections at a kind no longer than this for a while: none where one failed to open (idle
     * ones of many senders may take its room), less where one died of idleness. Costs new connections.
     */
    private void keep(int kind, long ns) {
        if (ns == 0 && kept(kind) > 0) {
            targets.values().stream().filter(t -> t.dest.kindNo == kind && !used.contains(t)
                    && clock - t.usedAt < settings.connections().idleNs()).forEach(used::add);
        }
        keepNs[kind] = Math.min(kept(kind), ns);
        keepUntil[kind] = Math.max(keepUntil[kind], clock + KEEP_NS);
    }

    private void close(Target t) {
        t.usedAt = Long.MIN_VALUE / 2;
        actions.disconnect(t.address);
    }

    private void giveBack(Call call) {
        callsOut--;
        call.target.out--;
        call.target.usedAt = clock;
        used.add(call.target);
        call.circuit.out.remove(call);
        if (call.circuit.trial == call) {
            call.circuit.trial = null;
        }
    }

    @Override
    public void withdrawn(long now, String id) {
        advance(now);
        if (held.containsKey(id)) {
            finish(held.get(id));
        }
    }

    private void finish(Held m) {
        if (!m.over) {
            m.over = true;
            live--;
            m.dest.waiting.remove(m);
            if (m.lane != null) {
                m.lane.queue.remove(m);
            }
        }
        forget(m);
    }

    private void forget(Held m) {
        Lane lane = m.lane;
        if (!m.out.isEmpty()) {
            return;
        }
        held.remove(m.msg.id());
        if (lane != null && rests(m)) {
            resting.add(m);
        }
    }

    /** Whether its lane is empty and kept only for its rest; one that need not rest is forgotten. */
    private boolean rests(Held m) {
        boolean empty = m.lane.queue.isEmpty() && m.lane.out == 0;
        if (empty && m.lane.restUntil <= clock) {
            lanes.remove(m.msg.orderKey(), m.lane);
        }
        return empty && m.lane.restUntil > clock;
    }

    private boolean mayRefuse(Held m) {
        return m.out.isEmpty() && (!m.maybeRan || m.cls.effect() == Sender.Effect.SAFE
                || m.cls.effect() == Sender.Effect.KEYED && !m.cls.keyPerZone() && m.msg.heedsWindow());
    }

    /** After an attempt that may have run: safe anywhere; keyed where and while the key is remembered. */
    private boolean maySend(Held m, long now, int zone) {
        return !m.maybeRan || m.cls.effect() == Sender.Effect.SAFE || m.cls.effect() == Sender.Effect.KEYED
                && now < m.keyUntil && (!m.cls.keyPerZone() || zone == m.keyZone);
    }

    private void giveUp(Held m, long now, long comeBack) {
        if (mayRefuse(m)) {
            actions.refuse(m.msg.id(), Math.max(0, Math.min(comeBack, settings.maxRetryAfterNs())));
        } else {
            actions.fail(m.msg.id());
        }
        finish(m);
    }

    // ---------------------------------------------------------------- deciding, once a turn

    @Override
    public void timer(long now, long token) {
        advance(now);
        timerAt = now >= timerAt - TICK_NS ? Long.MAX_VALUE : timerAt;   // hosts may round to their ticks
    }

    @Override
    public void turnEnd(long now) {
        advance(now);
        turn++;
        if (settings.askForList() && !subscribed && now >= subscribeAt) {
            subscribed = true;
            actions.subscribe();
        }
        due = Long.MAX_VALUE;
        measure(now);
        losses.roll(now);
        lossy = losses.failed() >= LOSSES && losses.failed() >= LOSSY * losses.calls();
        for (Destination d : busy) {
            boolean out = false;
            for (Circuit c : d.circuits) {
                c.tick(now);
                c.idle = d.waiting.isEmpty();
                if (settings.mayCancel()) {
                    cut(c, now);
                }
                out |= !c.out.isEmpty();
            }
            expire(d, now);
            d.busy = out || !d.waiting.isEmpty();
        }
        busy.removeIf(d -> !d.busy);
        shed(now);
        dispatch(now);
        for (Target t : used) {
            if (kept(t.dest.kindNo) == 0) {
                close(t);
            }
        }
        used.clear();
        if (settings.askForList() && !subscribed) {
            due(subscribeAt);
        }
        if (due < timerAt) {
            timerAt = Math.max(due, now + TICK_NS);
            actions.timer(0, timerAt - now);
        }
    }

    private void due(long at) {
        due = at > clock ? Math.min(due, at) : due;
    }

    /** How slow the whole network is: the middle destination against its own usual time. */
    private void measure(long now) {
        if (now - measuredAt < MEASURE_NS) {
            return;
        }
        measuredAt = now;
        resting.removeIf(m -> !rests(m));
        seen.removeIf(c -> now - c.lastGood >= BUCKETS * BUCKET_NS / 2);
        fleetUsual = seen.stream().mapToDouble(c -> c.usual).average().orElse(fleetUsual);
        double[] ratio = seen.stream().mapToDouble(c -> c.recent / c.usual).sorted().toArray();
        slowdown = ratio.length < 3 ? 1 : Math.min(MOST_SLOWDOWN, Math.max(1, ratio[ratio.length / 2]));
    }

    /**
     * Cuts overdue calls, oldest first. Where the destination goes on answering others, the answer is taken
     * to be lost: safe and keyed messages go again. Where tickets or slots run out, an overdue call of any
     * class goes: a slot held to the deadline costs more than the message in it. Covers hangs, lost
     * answers and single endlessly slow messages; could hurt when a slow destination would have answered yet.
     */
    private void cut(Circuit c, long now) {
        for (Call call : c.out) {
            if (!call.overdue || call.cut) {
                continue;
            }
            boolean scarce = callsOut >= settings.slots()
                    || c.state == State.CLOSED && c.out.size() >= c.pool() && !c.idle;
            boolean lost = c.answered > call.answeredBefore + LOST || call.idleNs > 0;
            boolean unsafe = call.messages.stream().anyMatch(m -> m.cls.effect() == Sender.Effect.UNSAFE);
            if (!(lost && !unsafe || scarce && (!unsafe || lossy || call.hopeless))) {
                continue;
            }
            call.cut = true;
            for (Held m : call.messages) {
                if (m.out.get(m.attempts - 1) == call) {
                    actions.cancel(m.msg.id(), m.attempts - 1);
                }
            }
        }
    }

    private void expire(Destination d, long now) {
        long need = d.circuits.isEmpty() ? 0 : (long) d.circuits.get(0).usualNs();
        for (Held m : List.copyOf(d.waiting)) {
            boolean hopeless = m.attempts >= settings.maxAttempts() || now + need >= m.msg.deadline();
            if (!hopeless && m.maybeRan) {
                hopeless = m.cls.effect() == Sender.Effect.UNSAFE
                        || m.cls.effect() == Sender.Effect.KEYED && now >= m.keyUntil;
            }
            if (hopeless) {
                giveUp(m, now, comeBack(d, now));
            } else {
                due(Math.min(m.msg.deadline() - need, m.maybeRan && m.keyUntil > now ? m.keyUntil : due));
            }
        }
    }

    private long comeBack(Destination d, long now) {
        long best = settings.maxRetryAfterNs();
        for (Circuit c : d.circuits) {
            best = Math.min(best, Math.max(BUCKET_NS, c.lendsAt(now) - now));
        }
        return best;
    }

    /**
     * Keeps room for what comes. Who was taken on has a promise, a newcomer may go elsewhere at once: so its
     * destination gives up its least worth where others wait there already, else the fullest one does.
     */
    private void shed(long now) {
        int room = Math.max(1, settings.mostHeld() / 16);
        while (live > settings.mostHeld() - room) {
            Destination from = newest != null && newest.crowded(turn) ? newest.dest
                    : busy.stream().max(Comparator.comparingInt(d -> d.waiting.size())).orElse(null);
            if (from == null || from.waiting.isEmpty()) {
                return;
            }
            from.waiting.forEach(m -> m.index = index(m, now, m.promise(now, turn)));
            Held least = Collections.min(from.waiting, Comparator.comparingDouble(m -> m.index));
            giveUp(least, now, comeBack(from, now));
        }
    }

    /** What is lost by waiting, for each second of a slot; {@code more}: besides, where it is given up. */
    private double index(Held m, long now, double more) {
        double ns = m.dest.circuits.isEmpty() ? fleetUsual
                : Math.max(m.dest.circuits.get(0).usualNs(), m.dest.circuits.get(0).recent);
        long done = now + (long) ns;
        double later = m.worthAt(done + m.cls.aimNs(), settings);
        return (m.worthAt(done, settings) - LATER * later + more) / Math.max(ns, TICK_NS);
    }

    private boolean laneFree(Held m, long now) {
        return m.lane == null || m.lane.queue.peek() == m && m.lane.out == 0 && now >= m.lane.restUntil;
    }

    private void dispatch(long now) {
        candidates.clear();
        for (Destination d : busy) {
            if (d.waiting.isEmpty()) {
                continue;
            }
            boolean closed = false, half = false;
            for (Circuit c : d.circuits) {
                if (c.lends(now)) {
                    closed |= c.state == State.CLOSED;
                    half |= c.state == State.HALF_OPEN;
                }
            }
            if (!closed && !half) {
                continue;
            }
            Held trial = null;
            int share = Math.min(d.kind.batch(), d.waiting.size());   // messages that would share the slot
            for (Held m : d.waiting) {
                if (now < m.notBefore || !laneFree(m, now)) {
                    due(now < m.notBefore ? m.notBefore : m.lane.restUntil > now ? m.lane.restUntil : due);
                    continue;
                }
                m.index = share * index(m, now, 0);
                if (closed) {
                    candidates.add(m);
                } else if (trial == null || m.cls.effect().compareTo(trial.cls.effect()) < 0
                        || m.cls.effect() == trial.cls.effect() && m.index > trial.index) {
                    trial = m;
                }
            }
            if (trial != null) {
                candidates.add(trial);
            }
        }
        candidates.sort(Comparator.comparingDouble((Held m) -> -m.index).thenComparingLong(m -> m.seq));
        for (Held m : candidates) {
            Target t = laneFree(m, now) ? pick(m, now) : null;
            if (t != null) {
                send(m, t, now);
            }
        }
        for (Destination d : busy) {
            for (Circuit c : d.circuits) {
                due(d.waiting.isEmpty() ? now : c.lendsAt(now));
                for (int i = c.out.size() - 1; i >= 0 && c.out.get(i).start == now; i--) {
                    due(now + c.lateNs);
                }
            }
        }
    }

    private boolean joins(Target t) {
        Call b = t.batch;
        return b != null && b.turn == turn && b.messages.size() < t.dest.kind.batch() && b.circuit.trial != b;
    }

    /** What an attempt there costs: the fee of a route's zone, else the price of another zone. */
    private double price(Target t) {
        List<Double> fees = settings.prices().zoneFees();
        double fee = t.dest.kind.routesApart() && t.zone < fees.size() ? fees.get(t.zone) : 0;
        return fee + (t.zone == settings.zone() || settings.prices().crossZone() == 0 ? 0 : FAR);
    }

    /** The endpoint for a message, or none: not rested, cheap, idle; one cap over a destination's routes. */
    private Target pick(Held m, long now) {
        int all = m.dest.circuits.stream().mapToInt(c -> c.out.size()).sum();
        boolean full = callsOut >= settings.slots() || all >= Math.max(1, settings.slots() * 3 / 4);
        double mean = m.dest.circuits.stream().mapToDouble(c -> c.weight).average().orElse(1);
        Target best = null;
        double bestCost = 0;
        for (Target t : m.dest.targets) {
            if (!t.ready || !maySend(m, now, t.zone) || now > closesAt - CLOSING * t.circuit.usualNs()) {
                continue;
            }
            if (!joins(t) && (full || !t.circuit.lends(now) || t.cold(now) && now < t.nextCold)) {
                due(t.nextCold);
                continue;
            }
            int k = m.msg.cls();
            if (m.dest.kind.routesApart()) {
                double share = t.circuit.weight > 0 ? t.circuit.weight / mean : 1;   // by the listed rates
                t.bias = -Math.log(1 - random.nextDouble()) / share;
            }
            double cost = t.out + PRICED * price(t) + (t == m.last ? 2 : 0) + t.bias
                    + (t.outside ? OUTSIDE : 0)
                    + (now < t.restUntil[k] ? 100 + t.failures[k] : 0) - (joins(t) ? 50 : 0);
            if (t.circuit.state == State.HALF_OPEN && m.cls.effect() != Sender.Effect.UNSAFE) {
                cost -= 1000;
            }
            if (best == null || cost < bestCost) {
                best = t;
                bestCost = cost;
            }
        }
        return best;
    }

    private void send(Held m, Target t, long now) {
        Circuit c = t.circuit;
        Call call = t.batch;
        if (!joins(t)) {
            call = new Call(c, t, now, turn, c.answered);
            long idle = now - t.usedAt;
            if (t.out == 0 && idle > 0 && idle < settings.connections().idleNs()) {
                if (idle > kept(m.dest.kindNo) || c.state == State.HALF_OPEN) {
                    close(t);   // a trial is to tell of the destination, not of a connection
                } else {
                    call.idleNs = idle;
                }
            }
            if (t.cold(now)) {
                t.called(now, c.rampRate(now, t.coldFrom));
            }
            t.batch = call;
            t.out++;
            callsOut++;
            c.out.add(call);
            if (c.state == State.HALF_OPEN) {
                c.trial = call;
            } else {
                c.level = Double.isInfinite(c.rate(now)) ? 1 : c.level - 1;
            }
        }
        call.messages.add(m);
        call.pending++;
        if (m.attempts == 0) {
            m.dest.retries.tried(now, retries, LEAST_RETRIES / senders);
        }
        m.out.put(m.attempts++, call);
        m.last = t;
        if (m.lane != null) {
            m.lane.out++;
        }
        m.dest.waiting.remove(m);
        actions.send(m.msg.id(), t.address, m.msg.deadline());
    }
}
