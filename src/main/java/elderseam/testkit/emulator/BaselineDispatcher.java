package elderseam.testkit.emulator;

import elderseam.core.ActiveRequest;
import elderseam.core.AttemptListener;
import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.FinalOutcome;
import elderseam.policy.EndpointStatus;
import elderseam.policy.Idempotency;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A dispatcher round a plain policy: it keeps the rules that any must keep (one attempt of a message at a time, a once-only message
 * that may have run is never sent again, its slots, its answers in time, the endpoints that are listed), and leaves to the policy
 * whether a call may go out now and to which endpoint. It keeps no journal, and
 * what it holds at its end is lost, but for the oracle's.
 */
final class BaselineDispatcher implements EmulatedDispatcher {
    private static final long MARGIN_NS = 100 * Policies.MS;
    private static final long BACK_NS = 100 * Policies.MS;
    private static final long MOST_BACK_NS = 2_000 * Policies.MS;

    static final class Held {
        final ActiveRequest.Message m;
        int attempts;
        boolean out;
        boolean maybeRan;

        Held(ActiveRequest.Message m) {
            this.m = m;
        }
    }

    private final Place place;
    private final BaselinePolicy policy;
    private final Map<String, Held> held;
    private final Map<Long, List<String>> endpoints = new HashMap<>();
    private boolean closing;
    private int out;

    BaselineDispatcher(Place place, BaselinePolicy policy) {
        this(place, policy, new LinkedHashMap<>());
    }

    /** {@code kept}: what an earlier process held, which this one goes on with. */
    BaselineDispatcher(Place place, BaselinePolicy policy, Map<String, Held> kept) {
        this.place = place;
        this.policy = policy;
        this.held = kept;
        for (Held h : kept.values()) {
            h.maybeRan |= h.out;
            h.out = false;
            place.at(Math.max(place.time().now(), h.m.deadline() - MARGIN_NS), () -> expire(h));
            place.at(place.time().now(), () -> retry(h));
        }
    }

    @Override
    public void hosts(ListUpdateKind kind, List<ListedEndpoint> list) {
        if (kind == ListUpdateKind.COMPLETE) {
            endpoints.clear();
        }
        for (ListedEndpoint e : list) {
            List<String> of = endpoints.computeIfAbsent(e.destination(), d -> new ArrayList<>());
            of.remove(e.address());
            if (e.status() == EndpointStatus.READY) {
                of.add(e.address());
            }
            policy.listed(e);
        }
    }

    @Override
    public void closing(long end) {
        closing = true;
    }

    @Override
    public FinalOutcome take(ActiveRequest.Message m) {
        Held known = held.get(m.id());
        if (known != null) {
            return null;
        }
        if (closing || held.size() >= place.plan().fleet().maxHeld() || !endpoints.containsKey(m.destination())) {
            return FinalOutcome.rejected(Policies.AGAIN_NS);
        }
        Held h = new Held(m);
        held.put(m.id(), h);
        place.at(m.deadline() - MARGIN_NS, () -> expire(h));
        place.at(place.time().now(), () -> tryNow(h));
        return null;
    }

    private void tryNow(Held h) {
        long now = place.time().now();
        if (held.get(h.m.id()) != h || h.out || closing) {
            return;
        }
        List<String> of = endpoints.getOrDefault(h.m.destination(), List.of());
        BaselinePolicy.Verdict v = out >= place.plan().fleet().slots() || of.isEmpty()
                ? BaselinePolicy.Verdict.later(BACK_NS)
                : policy.pick(h.m.destination(), of, h.m, h.attempts, now);
        if (v.endpoint() == null && v.refuse()) {
            end(h, h.maybeRan ? FinalOutcome.FAILED : FinalOutcome.rejected(Policies.AGAIN_NS));
        } else if (v.endpoint() == null) {
            place.at(now + v.laterNs(), () -> tryNow(h));
        } else {
            send(h, v.endpoint(), now);
        }
    }

    private void send(Held h, String endpoint, long now) {
        h.out = true;
        h.attempts++;
        out++;
        policy.sent(h.m.destination(), endpoint, now);
        place.send(
                h.m,
                endpoint,
                Math.min(now + 1_500 * Policies.MS, h.m.deadline() - MARGIN_NS),
                h.m.deadline() - MARGIN_NS,
                new AttemptListener() {
                    @Override
                    public boolean maySend() {
                        return held.get(h.m.id()) == h;
                    }

                    @Override
                    public void ended(AttemptOutcome end) {
                        BaselineDispatcher.this.ended(h, endpoint, now, end);
                    }

                    @Override
                    public void answeredLate(AttemptOutcome end) {
                        // it has had its end
                    }
                });
    }

    private void ended(Held h, String endpoint, long start, AttemptOutcome end) {
        long now = place.time().now();
        h.out = false;
        out--;
        h.maybeRan |= end.mayHaveRun() && end.status() != Status.DELIVERED;
        policy.ended(h.m.destination(), endpoint, now - start, end, now);
        if (held.get(h.m.id()) != h) {
            return;
        }
        if (end.status() == Status.DELIVERED) {
            end(h, FinalOutcome.DELIVERED);
        } else if (!mayRepeat(h, now) || h.attempts >= place.plan().fleet().maxAttempts()) {
            end(h, h.maybeRan ? FinalOutcome.FAILED : FinalOutcome.rejected(Policies.AGAIN_NS));
        } else {
            place.at(
                    now + Math.max(end.retryAfterNs(), Math.min(MOST_BACK_NS, BACK_NS << Math.min(10, h.attempts))),
                    () -> tryNow(h));
        }
    }

    private void retry(Held h) {
        if (held.get(h.m.id()) == h && !mayRepeat(h, place.time().now())) {
            end(h, FinalOutcome.FAILED);
        } else {
            tryNow(h);
        }
    }

    private static boolean mayRepeat(Held h, long now) {
        return !h.maybeRan
                || Policies.CLASSES.get(h.m.classIndex()).idempotency() == Idempotency.SAFE
                || (Policies.CLASSES.get(h.m.classIndex()).idempotency() == Idempotency.KEYED
                        && now
                                        - (h.m.deadline()
                                                - Policies.CLASSES
                                                        .get(h.m.classIndex())
                                                        .deadlineNs())
                                < 5_000 * Policies.MS);
    }

    private void expire(Held h) {
        if (held.get(h.m.id()) == h) {
            boolean unsure = h.maybeRan || h.out;
            end(h, unsure ? FinalOutcome.FAILED : FinalOutcome.rejected(Policies.AGAIN_NS));
        }
    }

    private void end(Held h, FinalOutcome answer) {
        held.remove(h.m.id());
        place.ended(h.m, answer);
    }
}
