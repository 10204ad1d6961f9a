package elderseam.gossip;

import java.util.HashSet;
import java.util.Set;

/** The local view of another member. Only {@link MembershipTable} modifies it. */
final class Member {
    final String name;
    /** {@code ADDRESS:PORT} at which the member receives packets. */
    String address;

    MemberState state = MemberState.ALIVE;
    long incarnation;
    long stateSinceNs;
    /** Index in {@link MembershipTable#members}. */
    int listIndex;
    /** Names of the members that suspect it, including the local one if it does. Empty unless the state is SUSPECT. */
    final Set<String> suspectedBy = new HashSet<>();

    Member(String name, String address, long incarnation, long nowNs) {
        this.name = name;
        this.address = address;
        this.incarnation = incarnation;
        this.stateSinceNs = nowNs;
    }

    boolean isPresent() {
        return state.isPresent();
    }
}
