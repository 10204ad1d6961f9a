package elderseam.gossip.transport;

import elderseam.gossip.MemberState;

/** Observes a member of the fleet: what an operator may want to read. Called on the I/O thread. */
public interface GossipListener {
    /** This member has bound its sockets, under this name and advertised address. */
    void started(String name, String address);

    /** A member is seen in another state; suspicions are not reported, since they come and go with lost datagrams. */
    void memberChanged(String member, MemberState state);

    /** A member was removed, because the roster no longer names it. */
    void memberRemoved(String member);

    /** The counts of members, suspicions and dropped packets have changed; at most once a minute. */
    void countsChanged(String counts);
}
