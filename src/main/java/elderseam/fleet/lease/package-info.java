/**
 * Leases for fleet-wide tasks: acquire, renew and release with a fencing token that only increases, decided by a
 * replicated table ({@link elderseam.fleet.lease.LeaseTable}) that is applied in the order of the Raft log, and the
 * holder's own rule of when it may act ({@link elderseam.fleet.lease.LeaseValidity}). The table and the rule do no I/O;
 * {@link elderseam.fleet.lease.LeaseStateMachine} runs the table in Apache Ratis, {@link
 * elderseam.fleet.lease.LeaseGroup} is a member of the group and {@link elderseam.fleet.lease.LeaseRenewer} the thread
 * that keeps a member's leases. The tasks decide whether a member does the work itself, by who holds the lease.
 */
package elderseam.fleet.lease;
