package elderseam.gossip;

/**
 * The parameters of the gossip protocol, most of them durations in nanoseconds.
 *
 * @param probeIntervalNs time between two probes (SWIM's protocol period)
 * @param probeTimeoutNs time to wait for the ack of a direct probe before indirect probes are sent; shorter than the
 *     interval
 * @param indirectProbes number of other members that are asked to probe (SWIM's k)
 * @param suspicionMultiplier multiplied by the decimal logarithm of the fleet's size, the minimum duration of a
 *     suspicion in probe intervals (Lifeguard's alpha)
 * @param maxSuspicionFactor duration of an unconfirmed suspicion as a multiple of the minimum (Lifeguard's beta)
 * @param retransmitMultiplier multiplied by the decimal logarithm of the fleet's size, the number of times that an
 *     update is sent (SWIM's lambda)
 * @param maxLocalHealth maximum of the local health score, which limits how far probes are slowed down (Lifeguard's S)
 * @param gossipIntervalNs time between two rounds of messages that carry only gossip: updates piggybacked on probes
 *     alone spread too slowly while members probe slowly
 * @param gossipFanout number of members that receive a message in each gossip round
 * @param stateExchangeIntervalNs time between two full state exchanges in a small fleet
 * @param forgetAfterNs time after which a member that is dead or has left is removed from the membership table
 * @param lifeguard whether Lifeguard's local health and variable suspicion durations are used
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

    /** The defaults of HashiCorp's memberlist for a local network, with a gossip round every 200 ms. */
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

    /** Returns a copy with Lifeguard's extensions turned off, so that plain SWIM is used. */
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
     * Returns the duration of a suspicion with the given number of independent confirmations (Lifeguard, section IV-B).
     * It decreases from the maximum to the minimum, and the first confirmation shortens it most.
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

    /**
     * Returns the number of confirmations after which a suspicion has its minimum duration (Lifeguard's K); 0 if the
     * fleet is too small for so many confirmations.
     */
    int expectedConfirmations(int members) {
        return members - 2 < suspicionMultiplier - 2 ? 0 : suspicionMultiplier - 2;
    }

    /** Returns how many times each update is sent in a fleet with the given number of members. */
    int maxSends(int members) {
        return (int) Math.ceil(retransmitMultiplier * Math.ceil(Math.log10(members + 1.0)));
    }
}
