package elderseam.policy;

import java.util.List;

/**
 * All that a policy is told at start. Times are nanoseconds, rates a second; a negative limit means none.
 *
 * @param classes of requests; a request names its class by index
 * @param kinds of destinations; an endpoint names its kind by index
 * @param tenantRates requests a second within each tenant's quota, over all senders
 * @param slots calls in flight at most
 * @param maxHeld requests held at most
 * @param maxAttempts for each request
 * @param senderCount how many senders share the destinations
 * @param zone of this sender
 * @param halvesWhenLate the weight of a late request halves with each latency objective, instead of falling in a line
 * @param overQuotaWeight factor of the weight of a request beyond its tenant's quota
 * @param mayCancel attempts may be cancelled
 * @param mayHedge a request may have two attempts in flight
 * @param subscribes updates of the endpoint list come only while subscribed
 * @param weightPrecision what the weights in the list tell
 * @param maxRetryAfterNs the longest Retry-After of a rejection
 * @param drainGraceNs how long an endpoint that is draining takes calls that were decided before
 * @param coldRateRatio part of its rate that a destination withstands just after its return
 * @param warmUpNs how long it takes to withstand all of it
 * @param overloadMultiple multiple of the rate it withstands at which a destination fails
 * @param overloadNs for how long it then fails
 * @param keyRestNs pause of an ordering key after an attempt whose end is unknown
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
     * Checks the settings.
     *
     * @throws IllegalArgumentException names the setting that makes no sense, as the settings file does
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
