/**
 * An upgrade under load: how one process passes its work to the next. {@code Giving} and {@code Taking} are the decisions, without
 * I/O; {@code Frame} is what travels, {@code Link} carries it over a Unix domain socket on threads of its own, {@code Owner} is the
 * lock that says which process owns the folder. Knows the core's values; what is done with them the wiring says.
 */
package elderseam.handover;
