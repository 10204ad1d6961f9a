package elderseam.gossip;

import java.util.HashSet;
import java.util.Set;

/** What this member knows of another one. {@link MembershipTable} owns and changes it; others only read. */
final class Member {
    final String name;
    /** {@code ADDRESS:PORT} at which the member receives. */
    String address;

    MemberState state = MemberState.ALIVE;
    long incarnation;
    long stateSinceNs;
    /** Index in {@link MembershipTable#members}. */
    int listIndex;
    /** Names of the members that reported the suspicion, this one among them if it did. Empty unless suspected. */
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
