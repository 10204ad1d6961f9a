package elderseam.gossip;

/**
 * The times of the protocol. All are in nanoseconds.
 *
 * @param periodNs between two probes (the protocol period of SWIM)
 * @param ackNs for an answer to a direct probe, before others are asked; under the period
 * @param indirect how many others are asked
 * @param suspicion how many periods, times the logarithm of the fleet, the shortest suspicion lasts
 * @param suspicionMost how many times that the longest lasts, while nobody confirms it (Lifeguard)
 * @param retransmit a rumour is sent along so often, times the logarithm of the fleet
 * @param mostHealth the most that bad local health slows this member's probes by (Lifeguard's S)
 * @param newsNs between two rounds of rumours for their own sake, while there are any: probes alone carry them too slowly
 *     where members probe slowly
 * @param fan to how many members a round of rumours goes
 * @param syncNs between two full exchanges of state
 * @param forgetNs how long one that is dead or has left is remembered
 * @param localHealth whether Lifeguard's parts are on
 */
public record GossipTimings(
        long periodNs,
        long ackNs,
        int indirect,
        int suspicion,
        int suspicionMost,
        int retransmit,
        int mostHealth,
        long newsNs,
        int fan,
        long syncNs,
        long forgetNs,
        boolean localHealth) {
    private static final long MS = 1_000_000;

    /** The practice of memberlist on a local network: a period of 1 s, 500 ms for an answer, 3 others, rumours to 3
     *  each 200 ms. */
    public static final GossipTimings USUAL =
            new GossipTimings(1_000 * MS, 500 * MS, 3, 4, 6, 4, 8, 200 * MS, 3, 30_000 * MS, 120_000 * MS, true);

    public GossipTimings {
        if (periodNs <= 0
                || ackNs <= 0
                || ackNs >= periodNs
                || indirect < 0
                || suspicion < 1
                || suspicionMost < 1
                || retransmit < 1
                || mostHealth < 0
                || newsNs <= 0
                || fan < 0
                || syncNs <= 0
                || forgetNs <= 0) {
            throw new IllegalArgumentException("times that make no sense: " + this);
        }
    }

    /** The same without Lifeguard's parts. */
    public GossipTimings plain() {
        return new GossipTimings(
                periodNs,
                ackNs,
                indirect,
                suspicion,
                suspicionMost,
                retransmit,
                mostHealth,
                newsNs,
                fan,
                syncNs,
                forgetNs,
                false);
    }

    private static double log(int members) {
        return Math.max(1, Math.log10(Math.max(1, members)));
    }

    long suspicionLeastNs(int members) {
        return (long) (suspicion * log(members) * periodNs);
    }

    /**
     * How long a suspicion lasts with so many independent confirmations (Lifeguard, section IV-B): from the longest down to
     * the shortest, the first confirmation shortening it most.
     */
    long suspicionNs(int members, int confirmations) {
        long least = suspicionLeastNs(members);
        int expected = expected(members);
        if (!localHealth || expected < 1) {
            return least;
        }
        long most = suspicionMost * least;
        double part = Math.log(confirmations + 1.0) / Math.log(expected + 1.0);
        return Math.max(least, (long) (most - part * (most - least)));
    }

    /** Confirmations after which a suspicion is as short as it gets; none where the fleet can't give them. */
    int expected(int members) {
        return members - 2 < suspicion - 2 ? 0 : suspicion - 2;
    }

    int transmits(int members) {
        return (int) Math.ceil(retransmit * Math.ceil(Math.log10(members + 1.0)));
    }
}
