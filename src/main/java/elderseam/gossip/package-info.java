/**
 * Who of the fleet is there, and what its members say of failing destinations. Decisions alone, without I/O: time and
 * randomness come in as arguments, messages go out as values. Knows nothing of the rest of the program; one thread owns
 * each object.
 */
package elderseam.gossip;
