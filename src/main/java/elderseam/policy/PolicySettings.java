package elderseam.policy;

import java.util.List;

/**
 * The settings of a policy, fixed at start. Times are in nanoseconds, rates per second; a negative limit means none.
 *
 * @param classes the classes of requests; a request refers to its class by index
 * @param kinds the kinds of destinations; an endpoint refers to its kind by index
 * @param tenantRates the quota of each tenant, in requests per second over all senders
 * @param slots maximum number of calls in flight
 * @param maxHeld maximum number of pending requests
 * @param maxAttempts maximum number of attempts for each request
 * @param senderCount number of senders that share the destinations
 * @param zone the zone of this sender
 * @param halvesWhenLate the weight of a late request halves with each latency objective, instead of falling linearly
 * @param overQuotaWeight factor applied to the weight of a request that exceeds its tenant's quota
 * @param mayCancel attempts may be cancelled
 * @param mayHedge a request may have two attempts in flight
 * @param subscribes updates of the endpoint list arrive only during a subscription
 * @param weightPrecision how precisely the weights in the endpoint list give the rate of a destination
 * @param maxRetryAfterNs the longest Retry-After of a rejection
 * @param drainGraceNs how long a draining endpoint still accepts calls that were decided before it began to drain
 * @param coldRateRatio share of its normal rate that a destination can serve just after its recovery
 * @param warmUpNs time after a recovery until a destination can serve its normal rate
 * @param overloadMultiple a destination fails at this multiple of the rate that it can serve
 * @param overloadNs how long a destination fails after such an overload
 * @param keyRestNs pause of an ordering key after an attempt whose outcome is unknown
 */
public record PolicySettings(
        List<RequestClass> classes,
        List<DestinationKind> kinds,
        List<Double> tenantRates,
        int slots,
        int maxHeld,
        int maxAttempts,
        int senderCount,
        int zone,
        boolean halvesWhenLate,
        double overQuotaWeight,
        boolean mayCancel,
        boolean mayHedge,
        boolean subscribes,
        WeightPrecision weightPrecision,
        long maxRetryAfterNs,
        long drainGraceNs,
        double coldRateRatio,
        long warmUpNs,
        double overloadMultiple,
        long overloadNs,
        long keyRestNs,
        ConnectionSettings connections,
        PriceSettings prices) {
    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a setting is invalid; the message contains its name in the settings file
     */
    public PolicySettings {
        classes = List.copyOf(classes);
        kinds = List.copyOf(kinds);
        tenantRates = List.copyOf(tenantRates);
        require(!classes.isEmpty(), "classes", "is empty");
        require(!kinds.isEmpty(), "kinds", "is empty");
        require(slots > 0, "slots", "must be above 0");
        require(maxHeld > 0, "mostHeld", "must be above 0");
        require(maxAttempts > 0, "maxAttempts", "must be above 0");
        require(senderCount > 0, "senders", "must be above 0");
        require(coldRateRatio > 0 && coldRateRatio <= 1, "coldShare", "must be above 0 and at most 1");
        require(warmUpNs >= 0, "coldNs", "must not be negative");
        require(overloadMultiple > 0, "fallMultiple", "must be above 0");
        require(overloadNs >= 0, "fallNs", "must not be negative");
        require(keyRestNs >= 0, "keyRestNs", "must not be negative");
        check(connections);
        check(prices);
        classes.forEach(PolicySettings::check);
        for (DestinationKind kind : kinds) {
            require(kind.batch() > 0, "batch", "must be above 0 in every kind");
        }
    }

    private static void check(ConnectionSettings connections) {
        require(connections.idleNs() >= 0, "connections.idleNs", "must not be negative");
        require(connections.maxCalls() > 0, "connections.calls", "must be above 0");
        require(connections.timeoutNs() >= 0, "connections.timeoutNs", "must not be negative");
    }

    private static void check(PriceSettings prices) {
        require(prices.connection() >= 0, "prices.connection", "must not be negative");
        require(prices.crossZone() >= 0, "prices.crossZone", "must not be negative");
        require(prices.zoneFees().stream().allMatch(fee -> fee >= 0), "prices.zoneFees", "must not be negative");
    }

    private static void check(RequestClass type) {
        require(type.deadlineNs() > 0, "deadlineNs", "must be above 0 in every class");
        require(
                type.latencyObjectiveNs() > 0 && type.latencyObjectiveNs() <= type.deadlineNs(),
                "aimNs",
                "must be above 0 and at most the deadline in every class");
        require(type.priorityWeight() >= 0, "worth", "must not be negative");
    }

    private static void require(boolean valid, String setting, String fault) {
        if (!valid) {
            throw new IllegalArgumentException("setting " + setting + " " + fault);
        }
    }
}
