package elderseam.policy;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Gives up requests that can no longer be delivered in time and, if too many are pending, those of the lowest
 * priority. Each is rejected with a Retry-After, or failed if it may have taken effect. Also computes the priority of
 * requests. Times are nanoseconds of the host's clock; confined to the policy's thread.
 */
final class LoadShedder {
    private static final int RESERVE_DIVISOR = 16; // 1/16 of the places for pending requests stays free
    /** Factor that reduces the value of a delivery one latency objective later, when a delay is weighed. */
    private static final double DELAYED_VALUE_RATIO = 0.9;
    /** Extra cost of giving up an accepted request, as a share of its priority weight. */
    private static final double ACCEPTED_GIVE_UP_COST = 0.3;
    /** The extra cost applies while more than this share of the time of its class is left. */
    private static final double ACCEPTED_GIVE_UP_TIME_RATIO = 0.3;

    /** Sheds requests that can be rejected before those that would fail: a rejected request may be submitted again. */
    private static final Comparator<PendingRequest> SHED_FIRST = Comparator.<PendingRequest, Boolean>comparing(
                    request -> !RetryPolicy.mayReject(request))
            .thenComparingDouble(request -> request.priority);

    private final PolicyContext context;

    LoadShedder(PolicyContext context) {
        this.context = context;
    }

    /**
     * Whether requests for a destination may be accepted: it has a listed endpoint, or had one within the longest
     * deadline of any class.
     *
     * @param destination null if it is unknown
     */
    static boolean mayAccept(DestinationState destination, PolicyContext context) {
        return destination != null
                && (destination.hasListedEndpoint()
                        || context.now - destination.emptySince <= context.longestDeadlineNs);
    }

    /** The weight of a new request; reduced if it exceeds its tenant's quota. */
    double priorityWeight(RequestClass requestClass, boolean withinQuota) {
        return requestClass.priorityWeight() * (withinQuota ? 1 : context.settings.overQuotaWeight());
    }

    /** Gives up waiting requests that can't be attempted again or can't be answered before their deadline. */
    void expire(DestinationState destination, long now) {
        long latencyNs = destination.groups.isEmpty()
                ? 0
                : (long) destination.groups.get(0).latency.expectedNs();
        for (PendingRequest request : List.copyOf(destination.waiting)) {
            long lastStart = request.message.deadline() - latencyNs;
            boolean exhausted = request.attempts >= context.settings.maxAttempts();
            if (exhausted) {
                giveUp(request, now, GiveUpReason.ATTEMPTS_EXHAUSTED);
            } else if (now >= lastStart) {
                giveUp(request, now, GiveUpReason.OUT_OF_TIME);
            } else if (!RetryPolicy.mayAttempt(request, now)) {
                giveUp(request, now, GiveUpReason.MAY_HAVE_RUN);
            } else {
                context.requestTurnAt(lastStart);
                if (request.mayHaveRun) {
                    context.requestTurnAt(request.keyValidUntil);
                }
            }
        }
    }

    private void giveUp(PendingRequest request, long now, GiveUpReason reason) {
        if (RetryPolicy.mayReject(request)) {
            context.actions.reject(request.message.id(), retryAfterNs(request.destination, now), reason);
        } else {
            context.actions.fail(request.message.id(), reason);
        }
        context.requests.giveUp(request);
    }

    /** The estimated time until a ticket of the destination is available, between 1 s and the configured maximum. */
    private long retryAfterNs(DestinationState destination, long now) {
        long shortest = context.settings.maxRetryAfterNs();
        for (EndpointGroup group : destination.groups) {
            long waitNs = Math.max(PolicyContext.SECOND_NS, group.tickets.availableAt(now) - now);
            shortest = Math.min(shortest, waitNs);
        }
        return Math.max(0, shortest);
    }

    /**
     * Gives up waiting requests until a reserve for new ones is free. Accepted requests should be delivered, while the
     * client of a new one can use another sender at once. So the request of lowest priority is given up at the
     * destination of the newest request if others already wait there, otherwise at the destination with most waiting
     * requests.
     */
    void shed(long now) {
        int reserve = Math.max(1, context.settings.maxHeld() / RESERVE_DIVISOR);
        while (context.requests.unfinished > context.settings.maxHeld() - reserve) {
            DestinationState destination = destinationToShed();
            if (destination == null || destination.waiting.isEmpty()) {
                return;
            }
            for (PendingRequest request : destination.waiting) {
                request.priority = priority(request, now, acceptedGiveUpCost(request, now));
            }
            giveUp(Collections.min(destination.waiting, SHED_FIRST), now, GiveUpReason.SHED);
        }
    }

    private DestinationState destinationToShed() {
        PendingRequest newest = context.requests.newest;
        if (newest != null && newest.firstTurn == context.turn && newest.waitsWithOthers()) {
            return newest.destination;
        }
        return context.requests.activeDestinations.stream()
                .max(Comparator.comparingInt(destination -> destination.waiting.size()))
                .orElse(null);
    }

    /**
     * The priority of a request: the value lost by delaying it for one latency objective, plus {@code costOfGivingUp},
     * for each nanosecond that it is expected to occupy a slot.
     */
    double priority(PendingRequest request, long now, double costOfGivingUp) {
        List<EndpointGroup> groups = request.destination.groups;
        double latencyNs = groups.isEmpty()
                ? context.latency.baselineLatencyNs
                : groups.get(0).latency.currentNs();
        long deliveredAt = now + (long) latencyNs;
        double delayedValue =
                request.valueAt(deliveredAt + request.requestClass.latencyObjectiveNs(), context.settings);
        double lost =
                request.valueAt(deliveredAt, context.settings) - DELAYED_VALUE_RATIO * delayedValue + costOfGivingUp;
        return lost / Math.max(latencyNs, PolicyContext.TICK_NS);
    }

    /** The extra cost of giving up a request that was accepted, has certainly not run and has enough time left. */
    private double acceptedGiveUpCost(PendingRequest request, long now) {
        boolean accepted = request.firstTurn < context.turn;
        boolean early =
                request.message.deadline() - now > ACCEPTED_GIVE_UP_TIME_RATIO * request.requestClass.deadlineNs();
        return accepted && early && !request.mayHaveRun ? ACCEPTED_GIVE_UP_COST * request.priorityWeight : 0;
    }
}
