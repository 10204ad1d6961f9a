package elderseam.fleet.selftest;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * An intentionally unsafe lease without consensus: the member with the lowest name among those that are alive according
 * to gossip considers itself the holder. It exists to verify that the history checkers detect an unsafe lease, and so
 * demonstrates why leases need a replicated log: the members' views change at different times, and a partitioned member
 * still includes itself in its view. No resource accepts its tokens.
 *
 * <p>In the variant with a majority, a member is the holder only while the members in its view, including itself, are
 * more than half of the roster. This shortens the time with two holders but does not rule it out, because the two sides
 * of a partition detect the partition at different times.
 *
 * <p>Not thread-safe.
 */
public final class GossipOnlyLease {
    /** The lease's name in histories. */
    public static final String NAME = "gossip";
    /** How long a view is valid, in nanoseconds; the next view is observed before that. */
    public static final long VIEW_VALID_NS = 100_000_000L;

    private final String self;
    private final String holderId;
    private final boolean requiresMajority;
    private final int rosterSize;
    private final FaultTestHistory history;
    /**
     * Whether this member has seen the complete roster; before that, a member that starts alone must not be the holder.
     */
    private boolean completeRosterSeen;
    /** The token while this member considers itself the holder, otherwise 0. */
    private long token;

    /**
     * Creates the lease from the point of view of one member.
     *
     * @param self this member's name
     * @param incarnation the incarnation of this member's process
     * @param requiresMajority whether a holder must have a majority of the roster in its view
     * @param rosterSize the number of members
     * @param history the history to which grants and releases are appended
     */
    public GossipOnlyLease(
            String self, String incarnation, boolean requiresMajority, int rosterSize, FaultTestHistory history) {
        this.self = self;
        this.holderId = self + "/" + incarnation;
        this.requiresMajority = requiresMajority;
        this.rosterSize = rosterSize;
        this.history = history;
    }

    /** Returns whether a member with the view {@code present}, which includes itself, considers itself the holder. */
    public static boolean holds(String self, Set<String> visibleMembers, int rosterSize, boolean requiresMajority) {
        boolean hasLowestName = visibleMembers.stream().allMatch(member -> self.compareTo(member) <= 0);
        return hasLowestName && (!requiresMajority || 2 * visibleMembers.size() > rosterSize);
    }

    /**
     * Updates the holder for a new view.
     *
     * @param others the other members that are alive according to gossip
     * @param wallMs the wall clock in milliseconds, which becomes the token of a new grant
     */
    public void observe(List<String> others, long wallMs) {
        Set<String> visibleMembers = new TreeSet<>(others);
        visibleMembers.add(self);
        completeRosterSeen |= visibleMembers.size() == rosterSize;
        if (completeRosterSeen && holds(self, visibleMembers, rosterSize, requiresMajority)) {
            grant(wallMs);
        } else if (token != 0) {
            token = 0;
            history.event("released")
                    .with("lease", NAME)
                    .with("holder", holderId)
                    .append();
        }
    }

    private void grant(long wallMs) {
        token = token == 0 ? wallMs : token;
        long atNs = System.nanoTime();
        history.eventAt(atNs, "granted")
                .with("lease", NAME)
                .with("holder", holderId)
                .with("token", token)
                .with("until_ns", atNs + VIEW_VALID_NS)
                .append();
    }
}
