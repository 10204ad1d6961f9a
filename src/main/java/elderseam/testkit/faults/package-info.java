/**
 * Fault tests of a fleet: real processes of the program on loopback with the project's own stand-ins around them, proxies that
 * cut, delay and reset the links between them, faults from a file or a seed, one history of all that happened, and checkers
 * that read nothing else. {@link elderseam.fleet.selftest.LeaseWorkload} alone runs inside the program, and only in a self-test.
 *
 * <p>{@code ProcessCluster} is one cluster, {@code FaultInjector} carries out the faults of a {@code FaultSchedule} on it, and
 * {@link elderseam.testkit.faults.LeaseTestRun} plays the rounds and hands the history to {@code HistoryCheckers}.
 */
package elderseam.testkit.faults;
