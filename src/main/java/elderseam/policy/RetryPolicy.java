package elderseam.policy;

/**
 * Decides whether, when and where a request may be attempted again, subject to its idempotency and the destination's
 * retry budget, and which overdue calls are cancelled to allow a retry. Times are nanoseconds of the host's clock;
 * confined to the policy's thread.
 */
final class RetryPolicy {
    /** The backoff after a failed first attempt, before jitter; it doubles with each further attempt. */
    private static final long FIRST_BACKOFF_NS = 100_000_000L;

    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    private static final long BACKOFF_OVER_BUDGET_NS = 1_600_000_000L; // if the retry budget is exhausted
    private static final double MIN_RETRIES_PER_S = 2; // always allowed at a destination, over all senders
    /** With more answers to other calls of the group since a call began, the answer to the call is assumed lost. */
    private static final int MAX_ANSWERS_WITHOUT_LOSS = 2;

    private final PolicyContext context;

    RetryPolicy(PolicyContext context) {
        this.context = context;
    }

    /**
     * Whether the request may be attempted at any endpoint. A request with an idempotency key that may have run may be
     * attempted again only while the destination recognizes the key, and only if the zone is known that does.
     */
    static boolean mayAttempt(PendingRequest request, long now) {
        return !request.mayHaveRun || request.isSafe() || (request.isKeyed() && isKeyRecognized(request, now));
    }

    private static boolean isKeyRecognized(PendingRequest request, long now) {
        boolean zoneUnknown = request.requestClass.keyPerZone() && request.keyZone == PolicyEvents.UNKNOWN_ZONE;
        return now < request.keyValidUntil && !zoneUnknown;
    }

    /** Whether the request may be attempted in {@code zone}: an idempotency key may be known only in its first zone. */
    static boolean mayAttempt(PendingRequest request, int zone, long now) {
        boolean boundToZone = request.mayHaveRun && !request.isSafe() && request.requestClass.keyPerZone();
        return mayAttempt(request, now) && (!boundToZone || zone == request.keyZone);
    }

    /**
     * Whether an attempt decided earlier may start now: since then, the window of the idempotency key may have ended.
     *
     * @param request null if it is no longer pending
     * @param endpoint null if it is no longer listed
     */
    static boolean mayStillAttempt(PendingRequest request, EndpointState endpoint, long now) {
        boolean ready = request != null && endpoint != null && endpoint.ready;
        return ready && now >= endpoint.group.rate.retryAfterUntil && mayAttempt(request, endpoint.zone, now);
    }

    /**
     * Whether the request may be rejected, that is, whether submitting it again is harmless. A request with an
     * idempotency key that may have run is not rejected: the next sender does not know when the window of the key
     * began, and may send the request after the window has ended.
     */
    static boolean mayReject(PendingRequest request) {
        return request.inFlight.isEmpty() && (!request.mayHaveRun || request.isSafe());
    }

    /** Adds a first attempt to the destination's retry budget. */
    void onAttempt(PendingRequest request, long now) {
        if (request.attempts == 0) {
            request.destination.retryBudget.onFirstAttempt(now, context.retryRatio, minRetriesPerS());
        }
    }

    private double minRetriesPerS() {
        return MIN_RETRIES_PER_S / context.senderCount;
    }

    /** Records whether an attempt that ended may have run, and pauses its ordering key if the attempt may still run. */
    void onAttemptEnded(PendingRequest request, AttemptRecord call, AttemptResult result, long now) {
        if (result.neverRan || result == AttemptResult.DELIVERED) {
            return;
        }
        if (!request.mayHaveRun) {
            request.mayHaveRun = true;
            request.keyZone = call.endpoint.zone;
            request.keyValidUntil = call.start + request.requestClass.keyWindowNs();
        }
        if (request.keyQueue != null && result != AttemptResult.ERROR) {
            request.keyQueue.rest(now + context.settings.keyRestNs());
        }
    }

    /** Lets an unfinished request wait for its next attempt, after a backoff that depends on this outcome. */
    void scheduleRetry(PendingRequest request, CompletedAttempt outcome, long now) {
        if (outcome.result() == AttemptResult.LOCAL_FAILURE) {
            // does not load a destination, so the retry budget does not apply
            request.notBefore = now + (long) (backoffNs(request) * context.jitter());
        } else if (outcome.result() != AttemptResult.FULL && outcome.result() != AttemptResult.NOT_SENT) {
            long backoffNs = withinBudget(request, now) ? backoffNs(request) : BACKOFF_OVER_BUDGET_NS;
            request.notBefore = now + (long) (backoffNs * context.jitter());
        } else if (outcome.noSlot()) {
            request.notBefore = now + PolicyContext.TICK_NS;
        }
        if (request.inFlight.isEmpty()) {
            context.requests.addWaiting(request);
        }
    }

    private static long backoffNs(PendingRequest request) {
        return FIRST_BACKOFF_NS << Math.min(MAX_BACKOFF_DOUBLINGS, request.attempts - 1);
    }

    private boolean withinBudget(PendingRequest request, long now) {
        return context.retryRatio >= 1
                || request.destination.retryBudget.tryConsumeRetry(now, context.retryRatio, minRetriesPerS());
    }

    /**
     * Cancels overdue calls, oldest first. If the destination still answers other calls, the answer is assumed lost,
     * and safe and keyed requests are retried. If tickets or slots run out, an overdue call of any class is cancelled,
     * since a slot that is occupied until the deadline costs more than the request in it. Covers hangs, lost answers
     * and single requests that never complete; may do harm if a slow destination would still have answered.
     */
    void cancelOverdue(EndpointGroup group, boolean requestsWait, long now) {
        for (AttemptRecord call : group.tickets.inFlight) {
            if (call.overdue && !call.cancelled && isWorthCancelling(call, requestsWait)) {
                cancel(call);
            }
        }
    }

    private boolean isWorthCancelling(AttemptRecord call, boolean requestsWait) {
        EndpointGroup group = call.group;
        boolean hasUnsafe = call.requests.stream().anyMatch(PendingRequest::isUnsafe);
        boolean answerLost =
                group.latency.deliveredCalls > call.deliveredCallsAtStart + MAX_ANSWERS_WITHOUT_LOSS || call.idleNs > 0;
        boolean capacityExhausted = context.inFlight >= context.settings.slots()
                || (group.breaker.isClosed() && group.tickets.isExhausted() && requestsWait);
        boolean worthwhile = (answerLost && !hasUnsafe)
                || (capacityExhausted && (!hasUnsafe || context.answerLoss.detected || call.presumedLost));
        return worthwhile && context.settings.mayCancel();
    }

    private void cancel(AttemptRecord call) {
        call.cancelled = true;
        for (PendingRequest request : call.requests) {
            int lastAttempt = request.attempts - 1;
            if (request.inFlight.get(lastAttempt) == call) {
                context.actions.cancel(request.message.id(), lastAttempt);
            }
        }
    }
}
