package elderseam.gossip;

import java.util.HashSet;
import java.util.Set;

/** What is held of another member. {@link MembershipTable} owns and changes it. */
final class Member {
    final String name;
    String address;
    MemberState standing = MemberState.ALIVE;
    int at; // its place in the roll's list
    long incarnation, since;
    final Set<String> confirmed = new HashSet<>(); // who suspects it

    Member(String name, String address, long incarnation, long since) {
        this.name = name;
        this.address = address;
        this.incarnation = incarnation;
        this.since = since;
    }

    /** Neither dead nor left. */
    boolean there() {
        return standing == MemberState.ALIVE || standing == MemberState.SUSPECT;
    }
}
