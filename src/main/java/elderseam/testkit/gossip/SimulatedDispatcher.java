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
import elderseam.policy.GiveUpReason;
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
 * The real dispatch policy with simulated clients and destinations, in virtual time. Each action of the policy is checked against
 * the rules: one attempt of a message at a time, no second attempt of a non-repeatable message that may have run, no call before
 * a Retry-After has passed, none after the deadline, and no more calls than slots.
 */
final class SimulatedDispatcher implements PolicyActions, BreakerExchange {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final List<RequestClass> CLASSES = Policies.CLASSES;
    private static final int NON_REPEATABLE_CLASS = 2;
    private static final int SLOTS = 32;

    /** A call is given up so long before the time at which the policy wants it ended. */
    private static final long CALL_MARGIN_NS = 50 * MS;

    /** A client that was refused waits at least so long, and a random time up to {@link #RETRY_JITTER_NS} more. */
    private static final long MIN_RETRY_NS = 200 * MS;

    private static final long RETRY_JITTER_NS = 200 * MS;

    private final VirtualTime time;
    private final Map<Long, SimulatedDestination> destinations;
    private final DispatchPolicy policy;
    private final SplittableRandom random;
    private final SimulatedClients clients;
    private final Map<String, PendingMessage> pending = new HashMap<>(); // by id
    private final Map<Long, Long> retryAfterEnds = new HashMap<>(); // by destination
    private final List<Runnable> deferred = new ArrayList<>(); // scheduled once the policy's turn has ended
    private int callsInFlight;
    private int messages;
    private int calls;
    private int failedCalls;
    private int refusals;
    private int failures;
    private int ruleViolations;
    private double deliveredValue;
    private double possibleValue;

    /**
     * Creates a dispatcher and its clients; {@link #run} starts them.
     *
     * @param dispatchers how many dispatchers share the destinations
     * @param messagesPerSecond the mean rate of its clients' messages, by destination
     */
    SimulatedDispatcher(
            String name,
            VirtualTime time,
            Map<Long, SimulatedDestination> destinations,
            int dispatchers,
            Map<Long, Double> messagesPerSecond,
            SplittableRandom random) {
        this.time = time;
        this.destinations = destinations;
        this.random = random;
        this.clients =
                new SimulatedClients(name, time, destinations.values(), messagesPerSecond, random, this::submitFirst);
        this.policy = new DispatchPolicy(policySettings(dispatchers), random.nextLong(), this);
        List<ListedEndpoint> endpoints = destinations.values().stream()
                .map(SimulatedDispatcher::listedEndpoint)
                .toList();
        policy.endpoints(time.now(), ListUpdateKind.COMPLETE, endpoints);
    }

    private static ListedEndpoint listedEndpoint(SimulatedDestination destination) {
        return new ListedEndpoint(
                endpointName(destination.id), destination.id, 0, 0, EndpointStatus.READY, destination.callsPerSecond);
    }

    private static String endpointName(long destination) {
        return "p" + destination;
    }

    private static PolicySettings policySettings(int dispatchers) {
        return new PolicySettings(
                CLASSES,
                List.of(new DestinationKind(false, 1)),
                List.of(),
                SLOTS,
                400,
                6,
                dispatchers,
                0,
                true,
                1,
                true,
                false,
                false,
                WeightPrecision.EXACT,
                2 * SECOND,
                250 * MS,
                SimulatedDestination.COLD_SHARE,
                SimulatedDestination.WARM_UP_NS,
                SimulatedDestination.OVERLOAD_MULTIPLE,
                SimulatedDestination.OVERLOAD_OUTAGE_NS,
                100 * MS,
                new ConnectionSettings(5 * SECOND, 1, 1_500 * MS),
                new PriceSettings(0, 0, List.of()));
    }

    /** Lets the clients submit messages until that time. */
    void run(long endNs) {
        clients.run(endNs);
    }

    /** What its messages came to so far. */
    DispatchTotals totals() {
        return new DispatchTotals(deliveredValue, possibleValue, messages, calls, failedCalls, refusals, failures);
    }

    /** How often the policy broke a rule. */
    int ruleViolations() {
        return ruleViolations;
    }

    private void submitFirst(PendingMessage message) {
        messages++;
        possibleValue += CLASSES.get(message.requestClass).priorityWeight();
        submit(message, false);
    }

    private void submit(PendingMessage message, boolean resubmitted) {
        pending.put(message.id, message);
        PolicyRequest request = new PolicyRequest(
                message.id, message.requestClass, -1, -1, message.deadlineNs, message.destination, resubmitted);
        runTurn(() -> policy.request(time.now(), request));
    }

    /** Gives the policy one event as a turn of its own, then schedules what it asked for meanwhile. */
    private void runTurn(Runnable event) {
        event.run();
        policy.turnEnd(time.now());
        List<Runnable> due = List.copyOf(deferred);
        deferred.clear();
        due.forEach(Runnable::run);
    }

    // ---------------------------------------------------------------- actions of the policy

    @Override
    public void send(String id, String endpoint, long stopAt, boolean sharesCall) {
        PendingMessage message = pending.get(id);
        long now = time.now();
        if (!mayCall(message, now)) {
            ruleViolations++;
            return;
        }
        int attempt = message.attempts;
        message.attempts++;
        message.currentAttempt = attempt;
        callsInFlight++;
        calls++;
        long timeout = message.deadlineNs - now - CALL_MARGIN_NS;
        SimulatedDestination.Reply reply = destinations.get(message.destination).call(id, attempt, now, timeout);
        SimulatedDestination.Reply observed = cutShort(reply, now, stopAt);
        long end = now + observed.latencyNs();
        deferred.add(() -> time.at(end, () -> finishAttempt(message, attempt, endpoint, now, observed)));
    }

    /** Whether the rules allow a call of that message, which is null if the dispatcher doesn't hold it. */
    private boolean mayCall(PendingMessage message, long now) {
        return message != null
                && !message.isInFlight()
                && !isUnsafeToRepeat(message)
                && now < message.deadlineNs
                && now >= retryAfterEnds.getOrDefault(message.destination, 0L)
                && callsInFlight < SLOTS;
    }

    private static boolean isUnsafeToRepeat(PendingMessage message) {
        return message.mayHaveRun && message.requestClass == NON_REPEATABLE_CLASS;
    }

    /** The reply as the caller sees it: a timeout if it would come too late. */
    private static SimulatedDestination.Reply cutShort(SimulatedDestination.Reply reply, long now, long stopAt) {
        if (reply.latencyNs() < stopAt - now - CALL_MARGIN_NS) {
            return reply;
        }
        long end = Math.max(now, stopAt - CALL_MARGIN_NS);
        return SimulatedDestination.Reply.of(AttemptResult.TIMEOUT, end - now);
    }

    private void finishAttempt(
            PendingMessage message, int attempt, String endpoint, long startNs, SimulatedDestination.Reply reply) {
        AttemptResult result = reply.result();
        boolean stillPending = pending.get(message.id) == message;
        if (message.currentAttempt != attempt || (!stillPending && result != AttemptResult.CANCELLED)) {
            return; // cancelled before
        }
        long now = time.now();
        message.currentAttempt = PendingMessage.NO_ATTEMPT;
        callsInFlight--;
        boolean delivered = result == AttemptResult.DELIVERED;
        message.mayHaveRun |= !result.neverRan && !delivered;
        if (delivered) {
            pending.remove(message.id);
            deliveredValue += value(message, now);
        } else if (result != AttemptResult.FULL && result != AttemptResult.CANCELLED) {
            failedCalls++;
        }
        if (reply.retryAfterNs() > 0) {
            retryAfterEnds.merge(message.destination, now + reply.retryAfterNs(), Math::max);
        }
        CompletedAttempt completed = new CompletedAttempt(
                message.id,
                attempt,
                endpoint,
                result,
                now - startNs,
                reply.retryAfterNs(),
                false,
                delivered,
                LimitReport.NONE);
        runTurn(() -> policy.outcome(now, completed));
    }

    /** The value of a message that is delivered now: it halves with each latency objective that it is late. */
    private static double value(PendingMessage message, long now) {
        RequestClass requestClass = CLASSES.get(message.requestClass);
        long objective = requestClass.latencyObjectiveNs();
        double objectivesLate = Math.max(0, (double) (now - message.createdNs - objective) / objective);
        return requestClass.priorityWeight() * Math.max(requestClass.lateWeight(), Math.pow(0.5, objectivesLate));
    }

    @Override
    public void cancel(String id, int attempt) {
        PendingMessage message = pending.get(id);
        if (message == null || message.currentAttempt != attempt) {
            return;
        }
        long now = time.now();
        failedCalls++;
        String endpoint = endpointName(message.destination);
        SimulatedDestination.Reply cancelled = SimulatedDestination.Reply.of(AttemptResult.CANCELLED, 0);
        deferred.add(() -> time.at(now, () -> finishAttempt(message, attempt, endpoint, now, cancelled)));
    }

    @Override
    public void reject(String id, long retryAfterNs, GiveUpReason reason) {
        refusals++;
        PendingMessage message = pending.remove(id);
        if (message.isInFlight() || isUnsafeToRepeat(message)) {
            ruleViolations++;
        }
        long jitter = (long) (RETRY_JITTER_NS * random.nextDouble());
        long retryAt = time.now() + Math.max(retryAfterNs, MIN_RETRY_NS) + jitter;
        if (retryAt < message.deadlineNs) {
            PendingMessage again = message.resubmitted();
            time.at(retryAt, () -> submit(again, true));
        }
    }

    @Override
    public void fail(String id, GiveUpReason reason) {
        failures++;
        pending.remove(id);
    }

    @Override
    public void timer(long token, long afterNs) {
        long at = time.now() + afterNs;
        deferred.add(() -> time.at(at, () -> runTurn(() -> policy.timer(at, token))));
    }

    @Override
    public void disconnect(String endpoint) {
        // connections cost nothing here
    }

    @Override
    public void subscribe() {
        // the list of endpoints does not change
    }

    @Override
    public void breakerOpened(String breaker, String cause) {
        // the totals show the effect
    }

    @Override
    public void breakerClosed(String breaker) {
        // the totals show the effect
    }

    // ---------------------------------------------------------------- gossip

    @Override
    public List<OwnBreaker> ownBreakers() {
        List<OwnBreaker> all = new ArrayList<>();
        policy.forEachBreaker(
                time.now(),
                (destination, breaker) -> all.add(new OwnBreaker(
                        destination,
                        switch (breaker.state()) {
                            case CLOSED -> HealthReport.State.CLOSED;
                            case HALF_OPEN -> HealthReport.State.HALF_OPEN;
                            case OPEN -> HealthReport.State.OPEN;
                        },
                        (int) (Math.max(0, breaker.waitNs()) / MS),
                        breaker.calls(),
                        breaker.failures())));
        return all;
    }

    @Override
    public void advise(long destination, Advice advice) {
        policy.peerHealthReported(time.now(), destination, advice.suspicion(), advice.trialCallers());
    }
}
