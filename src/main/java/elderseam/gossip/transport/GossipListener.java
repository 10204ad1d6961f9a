package elderseam.gossip.transport;

import elderseam.gossip.MemberState;

/** Observes a gossip member, to report events that are of interest to an operator. Called on the I/O thread. */
public interface GossipListener {
    /** This member has bound its sockets; {@code address} is its advertised address. */
    void started(String name, String address);

    /**
     * The state of another member has changed. Suspicions are not reported, since lost datagrams cause them often and
     * briefly.
     */
    void memberChanged(String member, MemberState state);

    /** A member was removed because it is no longer on the roster. */
    void memberRemoved(String member);

    /** The counts of members, suspicions and dropped packets have changed; called at most once a minute. */
    void countsChanged(String counts);
}
