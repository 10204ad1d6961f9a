/**
 * A simulated gossip fleet: the classes of {@link elderseam.gossip} and the dispatch policy in virtual time, on one thread, over
 * a network that loses, delays, repeats and partitions. One seed gives one course of events.
 */
package elderseam.testkit.gossip;
