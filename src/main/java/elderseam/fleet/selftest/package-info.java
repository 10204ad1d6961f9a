/**
 * Hooks in a running process that fault tests ({@code elderseam.testkit.faults}) switch on by the {@code [rehearsal]}
 * settings: a history of what the process did, a workload under a lease, and a lease that is unsafe on purpose. Nothing
 * here runs in a dispatcher that serves.
 */
package elderseam.fleet.selftest;
