package elderseam.testkit.gossip;

import elderseam.gossip.Advice;
import elderseam.gossip.HealthReport;
import elderseam.gossip.OwnBreaker;
import elderseam.policy.AttemptResult;
import elderseam.policy.CompletedAttempt;
import elderseam.policy.ConnectionSettings;
import elderseam.policy.DestinationKind;
import elderseam.policy.DispatchPolicy;
import elderseam.policy.EndpointStatus;
import elderseam.policy.LimitReport;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.PolicyActions;
import elderseam.policy.PolicyRequest;
import elderseam.policy.PolicySettings;
import elderseam.policy.PriceSettings;
import elderseam.policy.RequestClass;
import elderseam.policy.WeightPrecision;
import elderseam.testkit.emulator.Policies;
import elderseam.testkit.emulator.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The real decision module with clients before it and partners behind it, in virtual time. It checks what the module does
 * against the rules as it does it: one copy out, no second try of a once-only message that may have run, no call in a told
 * wait, no more calls than slots.
 */
final class SimulatedDispatcher implements PolicyActions, SimulatedFleet.Dispatching {
    private static final long MS = 1_000_000;
    private static final long S = 1_000 * MS;
    private static final List<RequestClass> CLASSES = Policies.CLASSES;

    /** What it came to: of all messages, by worth; {@code broken}: rules broken. */
    record Tally(
            double worth,
            double possible,
            int messages,
            int calls,
            int failedCalls,
            int refusals,
            int failures,
            int broken) {}

    private static final class Held {
        final String id;
        final int cls;
        final long destination;
        final long born;
        final long deadline;
        int attempts;
        int out = -1;
        boolean maybeRan;

        Held(String id, int cls, long destination, long born, long deadline) {
            this.id = id;
            this.cls = cls;
            this.destination = destination;
            this.born = born;
            this.deadline = deadline;
        }
    }

    private final VirtualTime time;
    private final Map<Long, SimulatedDestination> partners;
    private final DispatchPolicy brain;
    private final SplittableRandom random;
    private final Map<Long, Double> shares = new HashMap<>(); // calls a second that its clients want of a partner
    private final double all;
    private final int slots;
    private final String name;
    private final Map<String, Held> held = new HashMap<>();
    private final Map<Long, Long> waits = new HashMap<>();
    private final List<Runnable> after = new ArrayList<>(); // timers asked for in an event
    private int ids;
    private int out;
    private int messages;
    private int calls;
    private int failedCalls;
    private int refusals;
    private int failures;
    private int broken;
    private double worth;
    private double possible;
    private long until;

    SimulatedDispatcher(
            String name,
            VirtualTime time,
            Map<Long, SimulatedDestination> partners,
            int senders,
            Map<Long, Double> shares,
            SplittableRandom random) {
        this.name = name;
        this.time = time;
        this.partners = partners;
        this.shares.putAll(shares);
        this.all = shares.values().stream().mapToDouble(s -> s).sum();
        this.random = random;
        this.slots = 32;
        PolicySettings settings = new PolicySettings(
                CLASSES,
                List.of(new DestinationKind(false, 1)),
                List.of(),
                slots,
                400,
                6,
                senders,
                0,
                true,
                1,
                true,
                false,
                false,
                WeightPrecision.EXACT,
                2 * S,
                250 * MS,
                SimulatedDestination.COLD_SHARE,
                SimulatedDestination.COLD_NS,
                SimulatedDestination.FALL_MULTIPLE,
                SimulatedDestination.FALL_NS,
                100 * MS,
                new ConnectionSettings(5 * S, 1, 1_500 * MS),
                new PriceSettings(0, 0, List.of()));
        this.brain = new DispatchPolicy(settings, random.nextLong(), this);
        List<ListedEndpoint> list = partners.values().stream()
                .map(p -> new ListedEndpoint("p" + p.id, p.id, 0, 0, EndpointStatus.READY, p.perS))
                .toList();
        brain.endpoints(time.now(), ListUpdateKind.COMPLETE, list);
    }

    /** Clients hand in until then, at random times. */
    void run(long end) {
        until = end;
        next();
    }

    private void next() {
        long at = time.now() + (long) (-Math.log(1 - random.nextDouble()) / all * S);
        if (at < until) {
            time.at(at, () -> {
                double draw = random.nextDouble() * all;
                long to = 0;
                for (SimulatedDestination p : partners.values()) {
                    to = p.id;
                    draw -= shares.get(p.id);
                    if (draw < 0) {
                        break;
                    }
                }
                int k = random.nextInt(10);
                handIn(
                        new Held(
                                name + "-" + ids++,
                                k < 5 ? 0 : k < 8 ? 1 : 2,
                                to,
                                time.now(),
                                time.now()
                                        + CLASSES.get(k < 5 ? 0 : k < 8 ? 1 : 2).deadlineNs()),
                        false);
                next();
            });
        }
    }

    private void handIn(Held m, boolean again) {
        if (!again) {
            messages++;
            possible += CLASSES.get(m.cls).priorityWeight();
        }
        held.put(m.id, m);
        event(() ->
                brain.request(time.now(), new PolicyRequest(m.id, m.cls, -1, -1, m.deadline, m.destination, again)));
    }

    /** Each event is a turn of its own. */
    private void event(Runnable what) {
        what.run();
        brain.turnEnd(time.now());
        List<Runnable> due = List.copyOf(after);
        after.clear();
        due.forEach(Runnable::run);
    }

    Tally tally() {
        return new Tally(worth, possible, messages, calls, failedCalls, refusals, failures, broken);
    }

    // ---------------------------------------------------------------- what the module does

    @Override
    public void send(String id, String endpoint, long stopAt) {
        Held m = held.get(id);
        long now = time.now();
        if (m == null
                || m.out >= 0
                || (m.maybeRan && m.cls == 2)
                || now >= m.deadline
                || now < waits.getOrDefault(m.destination, 0L)
                || out >= slots) {
            broken++;
            return;
        }
        int attempt = m.attempts++;
        m.out = attempt;
        out++;
        calls++;
        SimulatedDestination.Reply r = partners.get(m.destination).call(id, attempt, now, m.deadline - now - 50 * MS);
        boolean lost = r.afterNs() >= stopAt - now - 50 * MS;
        long end = lost ? Math.max(now, stopAt - 50 * MS) : now + r.afterNs();
        SimulatedDestination.Reply told =
                lost ? new SimulatedDestination.Reply(AttemptResult.TIMEOUT, end - now, 0) : r;
        after.add(() -> time.at(end, () -> ended(m, attempt, endpoint, now, told)));
    }

    private void ended(Held m, int attempt, String endpoint, long start, SimulatedDestination.Reply r) {
        if (m.out != attempt || (held.get(m.id) != m && r.result() != AttemptResult.CANCELLED)) {
            return; // cut short before
        }
        long now = time.now();
        m.out = -1;
        out--;
        m.maybeRan |= !r.result().neverRan && r.result() != AttemptResult.DELIVERED;
        boolean done = r.result() == AttemptResult.DELIVERED;
        if (done) {
            held.remove(m.id);
            RequestClass c = CLASSES.get(m.cls);
            double late = Math.max(0, (double) (now - m.born - c.latencyObjectiveNs()) / c.latencyObjectiveNs());
            worth += c.priorityWeight() * Math.max(c.lateWeight(), Math.pow(0.5, late));
        } else if (r.result() != AttemptResult.FULL && r.result() != AttemptResult.CANCELLED) {
            failedCalls++;
        }
        if (r.waitNs() > 0) {
            waits.merge(m.destination, now + r.waitNs(), Math::max);
        }
        event(() -> brain.outcome(
                now,
                new CompletedAttempt(
                        m.id, attempt, endpoint, r.result(), now - start, r.waitNs(), false, done, LimitReport.NONE)));
    }

    @Override
    public void cancel(String id, int attempt) {
        Held m = held.get(id);
        if (m != null && m.out == attempt) {
            long now = time.now();
            failedCalls++;
            after.add(() -> time.at(
                    now,
                    () -> ended(
                            m,
                            attempt,
                            "p" + m.destination,
                            now,
                            new SimulatedDestination.Reply(AttemptResult.CANCELLED, 0, 0))));
        }
    }

    @Override
    public void reject(String id, long retryAfterNs) {
        refusals++;
        Held m = held.remove(id);
        if (m.out >= 0 || (m.maybeRan && m.cls == 2)) {
            broken++;
        }
        long at = time.now() + Math.max(retryAfterNs, 200 * MS) + (long) (200 * MS * random.nextDouble());
        if (at < m.deadline) { // its client brings it again
            Held again = new Held(m.id, m.cls, m.destination, m.born, m.deadline);
            time.at(at, () -> handIn(again, true));
        }
    }

    @Override
    public void fail(String id) {
        failures++;
        held.remove(id);
    }

    @Override
    public void timer(long token, long afterNs) {
        long at = time.now() + afterNs;
        after.add(() -> time.at(at, () -> event(() -> brain.timer(at, token))));
    }

    @Override
    public void disconnect(String endpoint) {
        // connections cost nothing here
    }

    @Override
    public void subscribe() {
        // the list stands
    }

    @Override
    public void breakerOpened(String breaker, String cause) {
        // a trial's own figures say more
    }

    @Override
    public void breakerClosed(String breaker) {
        // likewise
    }

    // ---------------------------------------------------------------- its part in the gossip

    @Override
    public List<OwnBreaker> own() {
        List<OwnBreaker> all = new ArrayList<>();
        brain.breakers(
                time.now(),
                (id, b) -> all.add(new OwnBreaker(
                        id,
                        switch (b.state()) {
                            case CLOSED -> HealthReport.State.CLOSED;
                            case HALF_OPEN -> HealthReport.State.HALF_OPEN;
                            case OPEN -> HealthReport.State.OPEN;
                        },
                        (int) (Math.max(0, b.waitNs()) / MS),
                        b.calls(),
                        b.failures())));
        return all;
    }

    @Override
    public void advise(long destination, Advice word) {
        brain.advised(time.now(), destination, word.suspicion(), word.probers());
    }
}
