/** The policy on the simulator's wire: messages as lines on standard input and output, without sockets. */
package elderseam.testkit.simulator;
