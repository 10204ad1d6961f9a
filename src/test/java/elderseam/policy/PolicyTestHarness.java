package elderseam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A host under test's control: carries out what the module asks and asserts the six rules at every action. */
final class PolicyTestHarness implements PolicyActions {
    static final long MS = 1_000_000;
    static final long S = 1_000 * MS;

    /** An attempt that is out. */
    record Attempt(String id, int number, String endpoint, long start, long stopAt) {}

    /** What the host knows of a message. */
    static final class Sent {
        final PolicyRequest msg;
        final RequestClass cls;
        final List<Attempt> out = new ArrayList<>();
        int attempts;
        boolean maybeRan;
        long firstMaybe;
        int zone;
        String end;
        long endedAt;

        Sent(PolicyRequest msg, RequestClass cls) {
            this.msg = msg;
            this.cls = cls;
        }
    }

    final PolicySettings settings;
    final DispatchPolicy policy;
    final Map<String, Sent> messages = new LinkedHashMap<>();
    /** Messages unfinished, or with attempts out. */
    final Map<String, Sent> active = new LinkedHashMap<>();

    final Map<String, ListedEndpoint> listed = new HashMap<>();
    final Map<String, Long> leftAt = new HashMap<>();
    final Map<String, Long> waits = new HashMap<>();
    final Map<Long, List<Sent>> orderedRequests = new HashMap<>();
    final Map<Long, Long> rests = new HashMap<>();
    final TreeMap<Long, List<Long>> timers = new TreeMap<>();
    final List<String> trace = new ArrayList<>();
    final List<String[]> cancels = new ArrayList<>();
    long now = 1_000 * S;
    int subscribes;
    int timersSet;
    LimitReport report = LimitReport.NONE; // what the next answers tell
    double patience = 1; // share of the class's time that the next messages have left
    private int ids;

    PolicyTestHarness(PolicySettings settings, long seed) {
        this.settings = settings;
        this.policy = new DispatchPolicy(settings, seed, this);
    }

    /** Settings with three classes (safe, keyed, unsafe in order) and one kind. */
    static PolicySettings settings(int slots, DestinationKind kind, boolean perZone) {
        return new PolicySettings(
                List.of(
                        new RequestClass(Idempotency.SAFE, false, false, 2 * S, 20 * S, 1, 0.4, 0),
                        new RequestClass(Idempotency.KEYED, perZone, false, 2 * S, 16 * S, 2, 0.4, 6 * S),
                        new RequestClass(Idempotency.UNSAFE, false, true, 3 * S, 28 * S, 5, 0.4, 0)),
                List.of(kind),
                List.of(),
                slots,
                300,
                6,
                2,
                0,
                true,
                1,
                true,
                false,
                false,
                WeightPrecision.UNKNOWN,
                2 * S,
                250 * MS,
                0.25,
                10 * S,
                2,
                2 * S,
                100 * MS,
                new ConnectionSettings(10 * S, 1, 1500 * MS),
                new PriceSettings(0.05, 0, List.of()));
    }

    static PolicyTestHarness simple(int slots) {
        PolicyTestHarness harness = new PolicyTestHarness(settings(slots, new DestinationKind(false, 1), false), 7);
        harness.list(ListUpdateKind.CACHED, endpoint("a:1", 1, 0, EndpointStatus.READY));
        return harness;
    }

    static ListedEndpoint endpoint(String address, long dest, int zone, EndpointStatus listing) {
        return new ListedEndpoint(address, dest, 0, zone, listing, 1);
    }

    void list(ListUpdateKind kind, ListedEndpoint... entries) {
        if (kind == ListUpdateKind.COMPLETE || kind == ListUpdateKind.CACHED) {
            listed.keySet().forEach(a -> leftAt.putIfAbsent(a, now));
        }
        for (ListedEndpoint e : entries) {
            listed.put(e.address(), e);
            if (e.status() == EndpointStatus.READY) {
                leftAt.remove(e.address());
            } else {
                leftAt.putIfAbsent(e.address(), now);
            }
        }
        policy.endpoints(now, kind, List.of(entries));
        policy.turnEnd(now);
    }

    String submit(int cls, long key, long dest) {
        String id = take(cls, key, dest);
        policy.turnEnd(now);
        return id;
    }

    /** Hands a message in without closing the turn. */
    String take(int cls, long key, long dest) {
        String id = String.format("%016x", ++ids);
        RequestClass c = settings.classes().get(cls);
        PolicyRequest m =
                new PolicyRequest(id, cls, 0, key, now + (long) (c.deadlineNs() * patience), dest, patience < 1);
        Sent sent = new Sent(m, c);
        messages.put(id, sent);
        active.put(id, sent);
        if (c.ordered() && key >= 0) {
            orderedRequests.computeIfAbsent(key, k -> new ArrayList<>()).add(sent);
        }
        policy.request(now, m);
        return id;
    }

    List<Attempt> out() {
        List<Attempt> all = new ArrayList<>();
        active.values().forEach(s -> all.addAll(s.out));
        return all;
    }

    Attempt only(String id) {
        assertEquals(1, messages.get(id).out.size(), "attempts out for " + id);
        return messages.get(id).out.get(0);
    }

    boolean sent(String id) {
        return !messages.get(id).out.isEmpty();
    }

    String end(String id) {
        return messages.get(id).end;
    }

    void answer(String id, AttemptResult result) {
        answer(only(id), result, 0);
        policy.turnEnd(now);
    }

    void answer(Attempt a, AttemptResult result, long waitNs) {
        Sent s = messages.get(a.id());
        s.out.remove(a);
        if (!result.neverRan && result != AttemptResult.DELIVERED) {
            if (!s.maybeRan) {
                s.maybeRan = true;
                s.firstMaybe = a.start();
                s.zone = listed.get(a.endpoint()).zone();
            }
            if (s.cls.ordered() && result != AttemptResult.ERROR) {
                rests.merge(s.msg.orderKey(), now + settings.keyRestNs(), Math::max);
            }
        }
        if (result == AttemptResult.DELIVERED && s.end == null) {
            end(s, "delivered");
        }
        if (waitNs > 0) {
            waits.merge(route(a.endpoint()), now + waitNs, Math::max);
        }
        policy.outcome(
                now,
                new CompletedAttempt(
                        a.id(),
                        a.number(),
                        a.endpoint(),
                        result,
                        now - a.start(),
                        waitNs,
                        false,
                        s.end != null,
                        report));
    }

    private String route(String endpoint) {
        ListedEndpoint e = listed.get(endpoint);
        return settings.kinds().get(e.kind()).routesApart() ? endpoint : "d" + e.destination();
    }

    /** Lets time pass in steps of the host's round: timers fire, attempts reach their time-out. */
    void pass(long ns) {
        long until = now + ns;
        while (now < until) {
            now = Math.min(until, now + 5 * MS);
            boolean turn = false;
            while (!timers.isEmpty() && timers.firstKey() <= now) {
                for (long token : timers.pollFirstEntry().getValue()) {
                    policy.timer(now, token);
                    turn = true;
                }
            }
            for (String[] c : List.copyOf(cancels)) {
                for (Attempt a : List.copyOf(messages.get(c[0]).out)) {
                    if (a.number() == Integer.parseInt(c[1])) {
                        answer(a, AttemptResult.CANCELLED, 0);
                        turn = true;
                    }
                }
            }
            cancels.clear();
            for (Attempt a : out()) {
                if (now >= a.stopAt()) {
                    answer(a, AttemptResult.TIMEOUT, 0);
                    turn = true;
                }
            }
            if (turn) {
                policy.turnEnd(now);
            }
            active.values().removeIf(s -> s.end != null && s.out.isEmpty());
            for (Sent s : active.values()) {
                assertTrue(s.end != null || now <= s.msg.deadline() + 20 * MS, "overdue answer for " + s.msg);
            }
        }
    }

    private void end(Sent s, String how) {
        assertEquals(null, s.end, "second final answer for " + s.msg);
        s.end = how;
        s.endedAt = now;
    }

    @Override
    public void send(String id, String endpoint, long stopAt) {
        trace.add(now + " send " + id + " " + endpoint);
        Sent s = messages.get(id);
        assertNotNull(s, "unknown message");
        assertEquals(null, s.end, "sent after its end");
        ListedEndpoint e = listed.get(endpoint);
        assertNotNull(e, "unlisted endpoint");
        assertEquals(s.msg.destination(), e.destination(), "endpoint of another destination");
        assertTrue(s.attempts < settings.maxAttempts(), "too many attempts");
        assertTrue(now <= leftAt.getOrDefault(endpoint, Long.MAX_VALUE / 2) + settings.drainGraceNs(), "drained");
        assertTrue(now >= waits.getOrDefault(route(endpoint), 0L), "Retry-After not heeded");
        assertTrue(settings.mayHedge() || s.out.isEmpty(), "second copy");
        if (s.maybeRan && s.cls.idempotency() != Idempotency.SAFE) {
            assertEquals(Idempotency.KEYED, s.cls.idempotency(), "unsafe message sent again");
            assertTrue(now < s.firstMaybe + s.cls.keyWindowNs(), "key forgotten");
            assertTrue(!s.cls.keyPerZone() || e.zone() == s.zone, "other zone");
        }
        if (s.cls.ordered() && s.msg.orderKey() >= 0) {
            for (Sent earlier : orderedRequests.get(s.msg.orderKey())) {
                if (earlier == s) {
                    break;
                }
                assertTrue(earlier.end != null && earlier.out.isEmpty(), "overtook an earlier message");
            }
            assertTrue(now >= rests.getOrDefault(s.msg.orderKey(), 0L), "key not rested");
        }
        Attempt a = new Attempt(id, s.attempts++, endpoint, now, Math.min(stopAt, s.msg.deadline()));
        s.out.add(a);
        if (settings.kinds().stream().allMatch(k -> k.batch() == 1)) {
            assertTrue(out().size() <= settings.slots(), "more calls than slots");
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        trace.add(now + " cancel " + id + " " + attempt);
        assertTrue(attempt < messages.get(id).attempts, "cancelled an attempt never made");
        cancels.add(new String[] {id, Integer.toString(attempt)});
    }

    @Override
    public void reject(String id, long retryAfterNs) {
        trace.add(now + " refuse " + id + " " + retryAfterNs);
        Sent s = messages.get(id);
        assertTrue(retryAfterNs >= 0 && retryAfterNs <= settings.maxRetryAfterNs(), "retry-after out of range");
        assertTrue(s.out.isEmpty(), "refused with an attempt out");
        assertFalse(
                s.maybeRan
                        && (s.cls.idempotency() == Idempotency.UNSAFE
                                || (s.cls.idempotency() == Idempotency.KEYED && s.cls.keyPerZone())),
                "refused though it may have run");
        end(s, "refused");
    }

    @Override
    public void fail(String id) {
        trace.add(now + " fail " + id);
        end(messages.get(id), "failed");
    }

    @Override
    public void timer(long token, long afterNs) {
        assertTrue(afterNs > 0);
        timersSet++;
        timers.computeIfAbsent((now + afterNs) / 1000 * 1000, k -> new ArrayList<>())
                .add(token);
    }

    @Override
    public void disconnect(String endpoint) {
        trace.add(now + " disconnect " + endpoint);
        assertNotNull(listed.get(endpoint), "unlisted endpoint");
    }

    @Override
    public void subscribe() {
        trace.add(now + " subscribe");
        subscribes++;
    }

    @Override
    public void breakerOpened(String breaker, String cause) {
        trace.add(now + " open " + breaker + ": " + cause);
    }

    @Override
    public void breakerClosed(String breaker) {
        trace.add(now + " closed " + breaker);
    }
}
