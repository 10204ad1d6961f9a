/**
 * A fleet in virtual time: one thread, one seed, the very classes of {@link elderseam.gossip} behind a network that loses,
 * delays, repeats and parts. Knows those classes alone; a larger emulator is to grow out of it.
 */
package elderseam.testkit.gossip;
