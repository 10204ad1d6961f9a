/**
 * The fleet rig: real processes of the program on loopback with the project's own stand-ins round them, a proxy that faults
 * the links between them, faults from a file or a seed, one history of all that happened, and checkers that read nothing
 * else. {@link elderseam.fleet.selftest.LeaseWorkload} alone runs inside the program, and only in a rehearsal.
 */
package elderseam.testkit.faults;
