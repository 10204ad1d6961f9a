/**
 * Gossip among the dispatchers of a fleet: the membership of the fleet ({@link elderseam.gossip.Membership}) and the
 * health reports on failing destinations ({@link elderseam.gossip.HealthReport}). {@link elderseam.gossip.GossipAgent}
 * is the entry point.
 *
 * <p>The package does no I/O: time and randomness are arguments and packets are values, so that the test kit can run
 * whole fleets in virtual time. It depends on no other package of the program. Each object is owned by one thread.
 * Times are in nanoseconds of a monotonic clock, unless a name states another unit or clock.
 */
package elderseam.gossip;
