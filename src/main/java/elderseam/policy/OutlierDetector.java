package elderseam.policy;

/**
 * Attributes failures to their causes: evaluates each outcome and each call without an answer, ejects the endpoint
 * and notifies the group's breaker and rate controller. Times are nanoseconds of the host's clock; confined to the
 * policy's thread.
 */
final class OutlierDetector {
    private static final long MIN_OVERDUE_NS = 1_000_000_000L; // minimum age of an overdue call
    private static final double OVERDUE_MULTIPLE = 5; // minimum age, in expected latencies
    private static final double OVERDUE_MULTIPLE_WITH_LOSS = 3.5; // lower limit while answers are being lost
    private static final double PRESUMED_LOST_MULTIPLE = 2; // of the overdue age: above this no answer is expected
    private static final int HUNG_CALLS_TO_TRIP = 2; // overdue calls without a later success
    private static final int HUNG_CALLS_TO_TRIP_WITH_LOSS = 5; // higher limit while answers are being lost
    private static final long MIN_IDLE_TO_DIE_NS = 500_000_000L; // connections idle for less are not dropped
    private static final double DEAD_CONNECTION_MULTIPLE =
            0.5; // of the expected latency: a later reset has another cause
    private static final long EJECTION_NS = CircuitBreaker.SLEEP_WINDOW_NS / 5; // for each counted failure
    private static final int UNANSWERED_CALL_FAILURES = 5; // number of failures that a call without an answer counts as
    private static final int MAX_FAILURES_COUNTED = 5;
    private static final int MAX_FAILURES_COUNTED_UNANSWERED = 25; // after a call without an answer
    private static final double MIN_LOST_ANSWERS = 3; // answers lost in the window to detect answer loss
    private static final double MIN_LOST_SHARE = 0.05; // share of all answers to detect answer loss

    private final PolicyContext context;
    private final IdleConnectionPolicy connections;

    OutlierDetector(PolicyContext context, IdleConnectionPolicy connections) {
        this.context = context;
        this.connections = connections;
    }

    /** Evaluates the outcome of a call; the outcomes of a batch count once. */
    void onOutcome(AttemptRecord call, CompletedAttempt outcome, long now) {
        EndpointGroup group = call.group;
        group.roll(now);
        boolean ended = outcome.result() != AttemptResult.CANCELLED && reachedEndpoint(outcome.result());
        boolean unanswered = call.cancelled && !context.answerLoss.detected;
        if ((ended || unanswered) && !call.recorded) {
            call.recorded = true;
            record(call, outcome, now);
        }
        group.rate.onRetryAfter(outcome.retryAfterNs(), now);
        group.rate.onReport(outcome.report(), now);
    }

    /** Whether the result is evidence about the endpoint; a local failure of this machine is not. */
    private static boolean reachedEndpoint(AttemptResult result) {
        return result != AttemptResult.NOT_SENT && result != AttemptResult.LOCAL_FAILURE;
    }

    private void record(AttemptRecord call, CompletedAttempt outcome, long now) {
        EndpointGroup group = call.group;
        AttemptResult result = outcome.result();
        group.window.count(result != AttemptResult.DELIVERED);
        if (result == AttemptResult.DELIVERED) {
            onDelivered(call, outcome.latencyNs(), now);
            return;
        }
        boolean quickReset = result == AttemptResult.RESET
                && outcome.latencyNs() < DEAD_CONNECTION_MULTIPLE * group.latency.expectedNs();
        if ((call.overdue && call.idleNs > 0) || (quickReset && diedWhileIdle(call))) {
            return; // caused by the connection, not by the destination
        }
        if (result == AttemptResult.FULL) {
            group.rate.onFull(call, outcome.retryAfterNs(), now);
            group.breaker.onRetryAfter(outcome.retryAfterNs(), now);
        } else {
            onFailed(call, outcome, now);
        }
        group.breaker.evaluate(call, result, now);
    }

    private void onDelivered(AttemptRecord call, long latencyNs, long now) {
        context.answerLoss.onAnswer();
        call.group.latency.onDelivered(call.start, (double) latencyNs, now);
        call.requests.forEach(request -> call.endpoint.clearFailures(request.message.requestClass()));
        call.group.rate.onSuccess();
        call.group.breaker.onSuccess(call, now);
    }

    private void onFailed(AttemptRecord call, CompletedAttempt outcome, long now) {
        EndpointGroup group = call.group;
        AttemptResult result = outcome.result();
        boolean contended = group.estimate.isContended();
        boolean openFailed = result == AttemptResult.CONNECT_FAILED
                && outcome.latencyNs() < context.settings.connections().timeoutNs();
        if (openFailed && contended) {
            connections.onOpenFailed(call.endpoint.destination.kindIndex);
        }
        group.rate.lastFailureAt = now;
        group.breaker.onFailure(call.cancelled, now);
        if (contended && group.latency.lastSuccessAt < call.start && result != AttemptResult.ERROR) {
            group.rate.backOff(0, now);
        }
        if (!call.overdue) {
            eject(call, false, now);
        }
    }

    /**
     * Ejects an endpoint for the classes of the failed or unanswered requests, so that other endpoints are preferred
     * for these classes. Each further failure makes the ejection longer, until a request of the class is delivered.
     * Other classes neither cause nor end the ejection.
     */
    private void eject(AttemptRecord call, boolean unanswered, long now) {
        EndpointState endpoint = call.endpoint;
        call.group.rate.lastFailureAt = now;
        int maxFailures = unanswered ? MAX_FAILURES_COUNTED_UNANSWERED : MAX_FAILURES_COUNTED;
        for (PendingRequest request : call.requests) {
            int requestClass = request.message.requestClass();
            endpoint.failures[requestClass] += unanswered ? UNANSWERED_CALL_FAILURES : 1;
            int counted = Math.min(maxFailures, endpoint.failures[requestClass]);
            endpoint.ejectedUntil[requestClass] = now + EJECTION_NS * counted;
        }
    }

    /**
     * Whether a lost call was sent on a connection that had been idle for longer than a call takes. Such a connection
     * may have been dropped without notice, so the destination is not blamed. This costs new connections, so a reset
     * counts as such evidence only if it came at once.
     */
    private boolean diedWhileIdle(AttemptRecord call) {
        boolean wasIdle = call.idleNs > Math.max(MIN_IDLE_TO_DIE_NS, call.group.latency.expectedNs());
        call.idleNs = wasIdle ? call.idleNs : 0;
        if (wasIdle) {
            connections.onIdleConnectionDied(call.endpoint.destination.kindIndex, call.idleNs);
        }
        return wasIdle;
    }

    /** Updates, once a turn, whether answers are being lost. */
    void checkAnswerLoss() {
        AnswerLoss loss = context.answerLoss;
        loss.detected = loss.lostAnswers() >= MIN_LOST_ANSWERS && loss.lostAnswers() >= MIN_LOST_SHARE * loss.answers();
    }

    /** Finds the overdue and lost calls of a group; trips its breaker if its calls hang. */
    void checkOverdue(EndpointGroup group, long now) {
        TicketPool tickets = group.tickets;
        boolean answersLost = context.answerLoss.detected;
        double multiple = answersLost ? OVERDUE_MULTIPLE_WITH_LOSS : OVERDUE_MULTIPLE;
        long limitNs = (long) Math.max(MIN_OVERDUE_NS, multiple * context.latency.slowdown * group.latency.currentNs());
        tickets.overdueAfterNs = limitNs + 1;
        tickets.overdue = 0;
        for (AttemptRecord call : tickets.inFlight) {
            check(call, limitNs, now);
            tickets.overdue += call.overdue ? 1 : 0;
        }
        CircuitBreaker breaker = group.breaker;
        int hungCallsToTrip = answersLost ? HUNG_CALLS_TO_TRIP_WITH_LOSS : HUNG_CALLS_TO_TRIP;
        boolean unanswered = tickets.overdue >= hungCallsToTrip && now - group.latency.lastSuccessAt > limitNs;
        boolean trialHangs = breaker.trial != null && breaker.trial.overdue;
        if ((breaker.isClosed() && unanswered) || (breaker.isHalfOpen() && trialHangs)) {
            breaker.onHang(tickets.overdue, now);
        }
    }

    private void check(AttemptRecord call, long limitNs, long now) {
        long overdueAt = call.start + call.stalledNs + limitNs;
        long presumedLostAt = overdueAt + (long) ((PRESUMED_LOST_MULTIPLE - 1) * limitNs);
        if (now > overdueAt && !call.overdue && !diedWhileIdle(call)) {
            eject(call, true, now);
        }
        call.overdue = now > overdueAt;
        call.presumedLost = now > presumedLostAt;
        if (!call.presumedLost) {
            context.requestTurnAt((call.overdue ? presumedLostAt : overdueAt) + 1);
        }
        boolean laterCallAnswered = call.group.latency.latestDeliveredStart > call.start;
        boolean abandoned = call.presumedLost || (call.cancelled && context.answerLoss.detected);
        if (laterCallAnswered && abandoned && !call.countedAsLost) {
            call.countedAsLost = true;
            context.answerLoss.onLostAnswer();
        }
    }
}
