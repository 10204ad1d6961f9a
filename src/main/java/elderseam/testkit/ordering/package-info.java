/**
 * A fault test of order: one process of the program on loopback, clients that hand in messages of ordering keys one after
 * another, endpoints and a platform that record what they get, and signals, handovers and endpoint faults from a seed.
 *
 * <p>{@link elderseam.testkit.ordering.OrderTrial} plays one run; {@code OrderChecker} reads nothing but the
 * {@code OrderHistory} of the run.
 */
package elderseam.testkit.ordering;
