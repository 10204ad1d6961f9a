/**
 * Hooks for fault tests ({@code elderseam.testkit.faults}), which enable them in a running process with the {@code
 * [rehearsal]} settings: a history of the events in the process, a workload under a lease, and an intentionally unsafe
 * lease. They are not used in production.
 */
package elderseam.fleet.selftest;
