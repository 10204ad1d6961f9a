/**
 * A model of all that a dispatcher meets, in virtual time: destinations with their limits and troubles, network, discovery, clients and
 * the front layer; the real core before it, or plain policies to compare with. One seed gives one course. Checkers of the rules are
 * fed by what happens, and know nothing of the code that they judge. Knows module and core; does no I/O but the reading of a plan.
 */
package elderseam.testkit.emulator;
