/**
 * Leases for fleet-wide tasks: grant, renew and release with a fencing token that only rises, decided by a replicated
 * table ({@link elderseam.fleet.lease.LeaseTable}) applied in the order of the engine's log, and the holder's own rule of
 * when it may act ({@link elderseam.fleet.lease.LeaseValidity}). The table and the rule do no I/O; {@link
 * elderseam.fleet.lease.LeaseStateMachine} puts the table into Apache Ratis.
 */
package elderseam.fleet.lease;
