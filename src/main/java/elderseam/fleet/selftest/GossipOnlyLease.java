package elderseam.fleet.selftest;

import java.util.List;
import java.util.Set;

/**
 * A lease that nobody agrees on: whoever sees itself as the lowest name among the members that gossip shows holds it. It is
 * here to be found unsafe by the checkers, and to say why leases stand on a replicated log: what each member sees changes at
 * another instant on each, and a member that is cut off goes on seeing itself. No resource is given its tokens.
 *
 * <p>{@code majority}: only while the members that it sees, itself among them, are more than half of the roster. That narrows
 * the time in which two hold it and does not close it: the two sides of a cut notice at different instants.
 */
public final class GossipOnlyLease {
    public static final String NAME = "gossip";
    /** How long one look counts, in nanoseconds of the machine's clock: the next one comes before. */
    public static final long LOOK_NS = 100_000_000L;

    private final String self, holder;
    private final boolean majority;
    private final int roster;
    private final FaultTestHistory history;
    private boolean
            complete; // all of the roster was seen once: before that a member that starts alone would take it at once
    private long token;

    /** {@code life}: which of this member's processes it is; {@code roster}: how many members there are. */
    public GossipOnlyLease(String self, String life, boolean majority, int roster, FaultTestHistory history) {
        this.self = self;
        this.holder = self + "/" + life;
        this.majority = majority;
        this.roster = roster;
        this.history = history;
    }

    /** Whether a member that sees {@code present} (itself among them) of {@code roster} members believes to hold. */
    public static boolean holds(String self, Set<String> present, int roster, boolean majority) {
        return present.stream().allMatch(p -> self.compareTo(p) <= 0) && (!majority || 2 * present.size() > roster);
    }

    /** One look at {@code others}, the members that gossip shows to be there; {@code wallMs} numbers what is taken. */
    public void look(List<String> others, long wallMs) {
        Set<String> present = new java.util.TreeSet<>(others);
        present.add(self);
        complete |= present.size() == roster;
        boolean holds = complete && holds(self, present, roster, majority);
        if (holds) {
            token = token == 0 ? wallMs : token;
            long at = System.nanoTime();
            history.eventAt(at, "granted")
                    .with("lease", NAME)
                    .with("holder", holder)
                    .with("token", token)
                    .with("until_ns", at + LOOK_NS)
                    .append();
        } else if (token != 0) {
            token = 0;
            history.event("released").with("lease", NAME).with("holder", holder).append();
        }
    }
}
