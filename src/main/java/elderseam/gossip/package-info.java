/**
 * Gossip among the dispatchers of a fleet: which members are present ({@link elderseam.gossip.Membership}), and what they
 * report of failing destinations ({@link elderseam.gossip.HealthReport}). {@link elderseam.gossip.GossipAgent} is the entry.
 *
 * <p>Decisions without I/O: time and randomness are arguments, packets are values, so that the test kit runs whole fleets in
 * virtual time. Depends on no other package of the program. Each object is owned by one thread. Times are nanoseconds of a
 * clock that never runs backwards, unless a name says otherwise.
 */
package elderseam.gossip;
