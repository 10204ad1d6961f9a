package elderseam.policy;

import java.util.List;

/**
 * Selects the endpoint of an attempt: the one with the lowest cost that has a ticket. The cost is the sum of calls in
 * flight, fees, recent failures and a random preference of this sender. An endpoint that has returned to service gets
 * its calls at the rate of a slow start. Confined to the policy's thread.
 */
final class EndpointSelector {
    // costs, in units of one call in flight; the endpoint with the lowest sum is selected
    private static final double COST_PER_PRICE = 50;
    private static final double OTHER_ZONE_PRICE = 0.03;
    private static final double OUTSIDE_SUBSET_COST = 4;
    private static final int SAME_ENDPOINT_COST = 2;
    private static final int EJECTED_COST = 100;
    private static final int JOINS_BATCH_GAIN = 50;
    private static final int SAFE_TRIAL_GAIN = 1000; // for a half-open breaker and a request that is safe to repeat
    // times
    private static final double MIN_LATENCIES_BEFORE_CLOSE =
            3; // expected latencies that must remain before shutdown to begin a call
    private static final double MIN_LATENCIES_TO_SHARE =
            4; // expected latencies that must remain before the deadline to share a call
    private static final double MAX_COLD_GAP_NS = 1e9; // between two calls to a cold endpoint

    private final PolicyContext context;

    EndpointSelector(PolicyContext context) {
        this.context = context;
    }

    /** Draws this sender's random preference for a new endpoint, so that senders spread over equal endpoints. */
    static double drawPreference(PolicyContext context) {
        return context.random.nextDouble();
    }

    /**
     * Applies the listed status of an endpoint. An endpoint that becomes ready again may have been restarted, so it is
     * treated as cold, and so is its group if no other endpoint of the destination is ready.
     */
    static void onListed(EndpointState endpoint, boolean ready, long now) {
        if (ready && !endpoint.ready && endpoint.listedBefore) {
            endpoint.coldSince = now;
            if (endpoint.destination.endpoints.stream().noneMatch(other -> other.ready)) {
                endpoint.group.rate.warmUp(now);
            }
        }
        endpoint.ready = ready;
        endpoint.listedBefore = true;
    }

    private boolean isCold(EndpointState endpoint, long now) {
        return endpoint.coldSince != 0 && now - endpoint.coldSince < context.settings.warmUpNs();
    }

    /**
     * Records that a call begins. A cold endpoint gets its next call after a gap that keeps it to its share of the slow
     * start rate of its destination.
     */
    void onCall(EndpointState endpoint, long now) {
        if (isCold(endpoint, now)) {
            double rate = endpoint.group.rate.slowStartRate(now, endpoint.coldSince);
            double gapNs = Math.min(MAX_COLD_GAP_NS, 1e9 * endpoint.destination.endpoints.size() / rate);
            endpoint.nextColdCallAt = now + (long) gapNs;
        }
    }

    /**
     * Whether a request may share the call to this endpoint that began in this turn. A host cancels a call at the
     * earliest deadline of its requests, so a request close to its deadline gets a call of its own.
     */
    boolean joinsBatch(EndpointState endpoint, PendingRequest request) {
        AttemptRecord batch = endpoint.batch;
        return batch != null
                && batch.turn == context.turn
                && batch.requests.size() < endpoint.destination.kind.batch()
                && endpoint.group.breaker.trial != batch
                && hasTimeToShare(request, endpoint)
                && hasTimeToShare(batch.requests.get(0), endpoint);
    }

    private boolean hasTimeToShare(PendingRequest request, EndpointState endpoint) {
        double remainingNs = request.message.deadline() - context.now;
        return remainingNs >= MIN_LATENCIES_TO_SHARE * endpoint.group.latency.expectedNs();
    }

    /** Returns the endpoint for the next attempt, or null if none may be called now. */
    EndpointState select(PendingRequest request, long now) {
        DestinationState destination = request.destination;
        boolean full = context.inFlight >= context.settings.slots()
                || destination.inFlight() >= TicketPool.maxPerDestination(context.settings);
        double meanRate = destination.meanAdvertisedRate();
        EndpointState best = null;
        double bestCost = 0;
        for (EndpointState endpoint : destination.endpoints) {
            if (!isEligible(endpoint, request, now)) {
                continue;
            }
            boolean joins = joinsBatch(endpoint, request);
            if (!joins && (full || !hasTicket(endpoint, now))) {
                context.requestTurnAt(endpoint.nextColdCallAt);
                continue;
            }
            if (destination.kind.breakerPerEndpoint()) {
                drawBias(endpoint, meanRate);
            }
            double cost = cost(endpoint, request, joins, now);
            if (best == null || cost < bestCost) {
                best = endpoint;
                bestCost = cost;
            }
        }
        return best;
    }

    private boolean isEligible(EndpointState endpoint, PendingRequest request, long now) {
        return endpoint.ready
                && RetryPolicy.mayAttempt(request, endpoint.zone, now)
                && now <= context.shutdownAt - MIN_LATENCIES_BEFORE_CLOSE * endpoint.group.latency.expectedNs();
    }

    private boolean hasTicket(EndpointState endpoint, long now) {
        return endpoint.group.tickets.isAvailable(now) && !(isCold(endpoint, now) && now < endpoint.nextColdCallAt);
    }

    /** Draws a new bias, so that routes with breakers of their own share the requests in proportion to their rates. */
    private void drawBias(EndpointState endpoint, double meanRate) {
        double advertised = endpoint.group.estimate.advertisedRate;
        double share = advertised > 0 ? advertised / meanRate : 1;
        endpoint.bias = -Math.log(1 - context.random.nextDouble()) / share;
    }

    private double cost(EndpointState endpoint, PendingRequest request, boolean joins, long now) {
        int requestClass = request.message.requestClass();
        boolean ejected = now < endpoint.ejectedUntil[requestClass];
        double cost = endpoint.inFlight
                + COST_PER_PRICE * price(endpoint)
                + (endpoint == request.lastEndpoint ? SAME_ENDPOINT_COST : 0)
                + endpoint.bias
                + (endpoint.outsideSubset ? OUTSIDE_SUBSET_COST : 0)
                + (ejected ? EJECTED_COST + endpoint.failures[requestClass] : 0)
                - (joins ? JOINS_BATCH_GAIN : 0);
        boolean safeTrial = endpoint.group.breaker.isHalfOpen() && !request.isUnsafe();
        return safeTrial ? cost - SAFE_TRIAL_GAIN : cost;
    }

    /** The price of an attempt: the fee of the route's zone, plus the price of a call to another zone. */
    private double price(EndpointState endpoint) {
        PriceSettings prices = context.settings.prices();
        List<Double> fees = prices.zoneFees();
        boolean hasFee = endpoint.destination.kind.breakerPerEndpoint() && endpoint.zone < fees.size();
        boolean otherZone = endpoint.zone != context.settings.zone() && prices.crossZone() != 0;
        return (hasFee ? fees.get(endpoint.zone) : 0) + (otherZone ? OTHER_ZONE_PRICE : 0);
    }
}
