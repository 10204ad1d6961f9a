package elderseam.gossip;

/**
 * The parameters of the protocol, most of them times in nanoseconds.
 *
 * @param probeIntervalNs between two probes (SWIM's protocol period)
 * @param probeTimeoutNs how long a direct probe may take before other members are asked to probe; below the interval
 * @param indirectProbes how many other members are asked (SWIM's k)
 * @param suspicionMultiplier probe intervals that the shortest suspicion lasts, times the logarithm of the fleet's size
 *     (Lifeguard's alpha)
 * @param maxSuspicionFactor how many times as long a suspicion lasts that nobody confirms (Lifeguard's beta)
 * @param retransmitMultiplier how often an update is sent, times the logarithm of the fleet's size (SWIM's lambda)
 * @param maxLocalHealth limit of the local health score, and so of how far probes are slowed (Lifeguard's S)
 * @param gossipIntervalNs between two rounds of messages that only carry gossip: probes alone carry it too slowly if members
 *     probe slowly
 * @param gossipFanout to how many members a round of gossip goes
 * @param stateExchangeIntervalNs between two full state exchanges in a small fleet
 * @param forgetAfterNs how long a member that is dead or has left is remembered
 * @param lifeguard whether Lifeguard's local health and variable suspicion times are used
 */
public record GossipTimings(
        long probeIntervalNs,
        long probeTimeoutNs,
        int indirectProbes,
        int suspicionMultiplier,
        int maxSuspicionFactor,
        int retransmitMultiplier,
        int maxLocalHealth,
        long gossipIntervalNs,
        int gossipFanout,
        long stateExchangeIntervalNs,
        long forgetAfterNs,
        boolean lifeguard) {
    private static final long NS_PER_MS = 1_000_000;

    /** The defaults of HashiCorp's memberlist for a local network, with rounds of gossip every 200 ms. */
    public static final GossipTimings DEFAULTS = new GossipTimings(
            1_000 * NS_PER_MS,
            500 * NS_PER_MS,
            3,
            4,
            6,
            4,
            8,
            200 * NS_PER_MS,
            3,
            30_000 * NS_PER_MS,
            120_000 * NS_PER_MS,
            true);

    /** @throws IllegalArgumentException if a value is out of its range */
    public GossipTimings {
        boolean probesValid =
                probeIntervalNs > 0 && probeTimeoutNs > 0 && probeTimeoutNs < probeIntervalNs && indirectProbes >= 0;
        boolean suspicionsValid = suspicionMultiplier >= 1 && maxSuspicionFactor >= 1 && maxLocalHealth >= 0;
        boolean gossipValid = retransmitMultiplier >= 1 && gossipIntervalNs > 0 && gossipFanout >= 0;
        boolean stateValid = stateExchangeIntervalNs > 0 && forgetAfterNs > 0;
        if (!probesValid || !suspicionsValid || !gossipValid || !stateValid) {
            throw new IllegalArgumentException("gossip timings out of range");
        }
    }

    /** Returns the same timings for SWIM alone. */
    public GossipTimings withoutLifeguard() {
        return new GossipTimings(
                probeIntervalNs,
                probeTimeoutNs,
                indirectProbes,
                suspicionMultiplier,
                maxSuspicionFactor,
                retransmitMultiplier,
                maxLocalHealth,
                gossipIntervalNs,
                gossipFanout,
                stateExchangeIntervalNs,
                forgetAfterNs,
                false);
    }

    private long minSuspicionNs(int members) {
        double sizeFactor = Math.max(1, Math.log10(Math.max(1, members)));
        return (long) (suspicionMultiplier * sizeFactor * probeIntervalNs);
    }

    /**
     * Returns how long a suspicion lasts with so many independent confirmations (Lifeguard, section IV-B): from the longest
     * down to the shortest, the first confirmation shortening it most.
     */
    long suspicionNs(int members, int confirmations) {
        long minNs = minSuspicionNs(members);
        int expected = expectedConfirmations(members);
        if (!lifeguard || expected < 1) {
            return minNs;
        }
        long maxNs = maxSuspicionFactor * minNs;
        double progress = Math.log(confirmations + 1.0) / Math.log(expected + 1.0);
        return Math.max(minNs, (long) (maxNs - progress * (maxNs - minNs)));
    }

    /** Returns after how many confirmations a suspicion is shortest (Lifeguard's K); 0 if the fleet is too small for them. */
    int expectedConfirmations(int members) {
        return members - 2 < suspicionMultiplier - 2 ? 0 : suspicionMultiplier - 2;
    }

    /** Returns how often each update is sent in a fleet of that size. */
    int maxSends(int members) {
        return (int) Math.ceil(retransmitMultiplier * Math.ceil(Math.log10(members + 1.0)));
    }
}
