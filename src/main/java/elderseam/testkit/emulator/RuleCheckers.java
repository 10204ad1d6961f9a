package elderseam.testkit.emulator;

import elderseam.core.AttemptOutcome;
import elderseam.core.FinalOutcome;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks the rules that every dispatcher must keep, by what happens in the world alone: each request gets one final answer, in time; a
 * request that must run once takes effect once, a keyed one once within its window; one attempt of a request is in flight at a time,
 * and no dispatcher has more in flight than its slots; a Retry-After is kept, and a draining endpoint is left alone. A collapse of a
 * cold destination is counted, but breaks no rule.
 */
public final class RuleCheckers implements WorldListener {
    /** The rules, by the way in which each is broken. */
    public enum Rule {
        /** A request got an answer after its final one. */
        ANSWERED_TWICE("answered_twice"),
        /** A request never got an answer. */
        LOST("lost"),
        /** A request was answered after its deadline. */
        LATE("late"),
        /** Two attempts of a request were in flight at once. */
        TWO_OUT("two_out"),
        /** A dispatcher had more attempts in flight than its slots. */
        ABOVE_SLOTS("above_slots"),
        /** A request took effect again, when no repeat was allowed. */
        EFFECT_TWICE("effect_twice"),
        /** A destination was called before its Retry-After had passed. */
        WAIT_BROKEN("wait_broken"),
        /** A draining endpoint was called. */
        DRAIN_BROKEN("drain_broken");

        private final String wireName;

        Rule(String wireName) {
            this.wireName = wireName;
        }

        /** The rule in reports and JSON, there after {@code broken_}; it outlives a rename of the constant. */
        public String wireName() {
            return wireName;
        }
    }

    /** A destination or an endpoint, as one dispatcher knows it. */
    private record Known<T>(int dispatcher, T target) {}

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** How long after its deadline an answer is not yet late. */
    private static final long ANSWER_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** How long calls to an endpoint may go on after its drain became known. */
    private static final long DRAIN_GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long RETRY_AFTER_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long KEY_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** How long a restarted process has for the answers that fell due while it was away. */
    private static final long RESTART_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** The far future, from which a grace can still be added without overflow. */
    private static final long NEVER = Long.MAX_VALUE / 2;

    private static final int SAFE_CLASS = 0;
    private static final int KEYED_CLASS = 1;
    private static final int ONCE_CLASS = 2;
    private static final int NO_DISPATCHER = -1;
    private static final int MAX_DESCRIBED_VIOLATIONS = 20;

    private final int slots;
    private final Map<String, Integer> inFlightByRequest = new HashMap<>();
    private final Map<Integer, Integer> inFlightByDispatcher = new HashMap<>();
    private final Map<Integer, Map<String, Integer>> inFlightRequests = new HashMap<>();
    private final Map<String, Long> lastExecution = new HashMap<>();
    private final Map<Known<Long>, Long> retryAfter = new HashMap<>();
    private final Map<Known<String>, Long> drainKnownSince = new HashMap<>();

    /** By request: the dispatcher that accepted it last. */
    private final Map<String, Integer> holders = new HashMap<>();

    /** By dispatcher: its last start, if it was restarted. */
    private final Map<Integer, Long> restartedAt = new HashMap<>();

    private final Map<Rule, Integer> broken = new LinkedHashMap<>();
    private final StringBuilder violations = new StringBuilder();
    private int describedViolations;
    private int collapses;

    /** Creates checkers for a world whose dispatchers have so many slots each. */
    public RuleCheckers(int slots) {
        this.slots = slots;
    }

    private void report(Rule rule, long now, String description) {
        broken.merge(rule, 1, Integer::sum);
        if (describedViolations++ < MAX_DESCRIBED_VIOLATIONS) {
            String ruleName = rule.wireName().toUpperCase(Locale.ROOT);
            violations.append(String.format("%.3f s: %s: %s%n", now / NANOS_PER_SECOND, ruleName, description));
        }
    }

    @Override
    public void accepted(long now, int dispatcher, ClientRequest request) {
        holders.put(request.id(), dispatcher);
    }

    @Override
    public void answered(long now, ClientRequest request, FinalOutcome answer) {
        int holder = holders.getOrDefault(request.id(), NO_DISPATCHER);
        long answersDue = restartedAt.getOrDefault(holder, -RESTART_GRACE_NANOS) + RESTART_GRACE_NANOS;
        if (now > request.deadline() + ANSWER_GRACE_NANOS && now > answersDue) {
            long lateMillis = (now - request.deadline()) / NANOS_PER_MILLI;
            report(Rule.LATE, now, request.id() + " is answered " + lateMillis + " ms after its deadline");
        }
    }

    @Override
    public void answeredUnexpectedly(long now, String requestId, FinalOutcome answer) {
        report(Rule.ANSWERED_TWICE, now, requestId + " is answered " + answer.kind() + " though nobody waits");
    }

    @Override
    public void finished(long now, ClientRequest request, FinalOutcome.Kind kind) {
        forget(request);
    }

    @Override
    public void lost(long now, ClientRequest request) {
        report(Rule.LOST, now, request.id() + " never had an answer");
        forget(request);
    }

    /** Executions of the other classes stay, as a late attempt may still take effect. */
    private void forget(ClientRequest request) {
        holders.remove(request.id());
        if (request.requestClass() == SAFE_CLASS) {
            lastExecution.remove(request.id());
        }
    }

    @Override
    public void attemptSent(long now, int dispatcher, ClientRequest request, String endpoint) {
        String id = request.id();
        if (inFlightByRequest.merge(id, 1, Integer::sum) > 1) {
            report(Rule.TWO_OUT, now, id + " is sent to " + endpoint + " while another attempt is out");
        }
        inFlightRequests.computeIfAbsent(dispatcher, any -> new HashMap<>()).merge(id, 1, Integer::sum);
        int inFlight = inFlightByDispatcher.merge(dispatcher, 1, Integer::sum);
        String caller = "dispatcher " + dispatcher;
        if (inFlight > slots) {
            report(Rule.ABOVE_SLOTS, now, caller + " has " + inFlight + " calls out");
        }
        long destination = request.destination();
        if (now + RETRY_AFTER_GRACE_NANOS < retryAfter.getOrDefault(new Known<>(dispatcher, destination), 0L)) {
            report(Rule.WAIT_BROKEN, now, caller + " calls " + destination + " in a told wait");
        }
        long drainKnown = drainKnownSince.getOrDefault(new Known<>(dispatcher, endpoint), NEVER);
        if (now > drainKnown + DRAIN_GRACE_NANOS) {
            report(Rule.DRAIN_BROKEN, now, caller + " calls " + endpoint + " that drains");
        }
    }

    @Override
    public void attemptEnded(long now, int dispatcher, ClientRequest request, String endpoint, AttemptOutcome outcome) {
        subtract(inFlightByRequest, request.id(), 1);
        inFlightByDispatcher.merge(dispatcher, -1, Integer::sum);
        subtract(inFlightRequests.get(dispatcher), request.id(), 1);
    }

    private static void subtract(Map<String, Integer> counts, String id, int count) {
        counts.merge(id, -count, (before, change) -> before + change == 0 ? null : before + change);
    }

    /** The attempts and the knowledge of a process end with it. */
    @Override
    public void processChanged(long now, int dispatcher, boolean up) {
        if (up) {
            if (now > 0) {
                restartedAt.put(dispatcher, now);
            }
            return;
        }
        inFlightRequests
                .getOrDefault(dispatcher, Map.of())
                .forEach((id, count) -> subtract(inFlightByRequest, id, count));
        inFlightRequests.remove(dispatcher);
        inFlightByDispatcher.remove(dispatcher);
        retryAfter.keySet().removeIf(known -> known.dispatcher == dispatcher);
        drainKnownSince.keySet().removeIf(known -> known.dispatcher == dispatcher);
    }

    @Override
    public void executed(long now, ClientRequest request) {
        Long last = lastExecution.put(request.id(), now);
        if (last == null) {
            return;
        }
        long elapsed = now - last;
        int requestClass = request.requestClass();
        if (requestClass == ONCE_CLASS || (requestClass == KEYED_CLASS && elapsed > KEY_WINDOW_NANOS)) {
            String description = request.id() + " of class " + requestClass + " takes effect again after "
                    + elapsed / NANOS_PER_MILLI + " ms";
            report(Rule.EFFECT_TWICE, now, description);
        }
    }

    @Override
    public void retryAfterReceived(long now, int dispatcher, long destination, long until) {
        retryAfter.merge(new Known<>(dispatcher, destination), until, Math::max);
    }

    @Override
    public void drainReceived(long now, int dispatcher, String endpoint) {
        drainKnownSince.putIfAbsent(new Known<>(dispatcher, endpoint), now);
    }

    @Override
    public void collapsed(long now, long destination) {
        collapses++;
    }

    /** How often each rule was broken; empty where none was. */
    public Map<Rule, Integer> broken() {
        return broken;
    }

    /** The first violations, a line each. */
    public String violations() {
        return violations.toString();
    }

    /** How often a cold destination collapsed under its calls. */
    public int collapses() {
        return collapses;
    }
}
