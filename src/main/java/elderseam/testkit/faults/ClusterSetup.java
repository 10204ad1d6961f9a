package elderseam.testkit.faults;

import java.util.function.UnaryOperator;

/**
 * Which parts of the program are switched on in the members of a test cluster.
 *
 * @param leases whether the members form a lease group
 * @param extraLines further lines of a member's settings, by the member's name; they begin inside its [fleet] section where
 *     leases are on
 * @param storeActs whether the holder of the test's lease acts on the store
 * @param storeFenced whether the store refuses acts with an older token
 * @param gossip whether the members gossip, and by which rule they hold a lease on gossip alone
 */
record ClusterSetup(
        boolean leases, UnaryOperator<String> extraLines, boolean storeActs, boolean storeFenced, GossipLease gossip) {
    /** Leases, and a holder that acts on a fenced store. */
    static final ClusterSetup DEFAULT = withLeases("", true, true);

    /** Members that know nothing of each other. */
    static final ClusterSetup OFF = new ClusterSetup(false, member -> "", false, true, GossipLease.NO_GOSSIP);

    /** The rule by which a lease is held on gossip alone. */
    enum GossipLease {
        /** The members do not gossip. */
        NO_GOSSIP(""),
        /** The members gossip and hold no lease on it. */
        NONE("off"),
        /** The lowest name that a member sees alive holds the lease. */
        LOWEST("lowest"),
        /** The same, where a majority is seen alive. */
        MAJORITY("majority");

        private final String setting;

        GossipLease(String setting) {
            this.setting = setting;
        }

        /** The value of gossip_lease in a member's settings. */
        String setting() {
            return setting;
        }
    }

    /** A lease group whose members all have the same further lines. */
    static ClusterSetup withLeases(String extraLines, boolean storeActs, boolean storeFenced) {
        return new ClusterSetup(true, member -> extraLines, storeActs, storeFenced, GossipLease.NO_GOSSIP);
    }

    /** Members that gossip and hold a lease by nothing else. */
    static ClusterSetup withLeaseOnGossip(GossipLease rule) {
        return new ClusterSetup(false, member -> "", false, true, rule);
    }

    /** Members that gossip, with these further sections in their settings. */
    static ClusterSetup withGossip(String extraSections) {
        return new ClusterSetup(false, member -> extraSections, false, true, GossipLease.NONE);
    }

    /** Whether the members gossip. */
    boolean gossips() {
        return gossip != GossipLease.NO_GOSSIP;
    }
}
