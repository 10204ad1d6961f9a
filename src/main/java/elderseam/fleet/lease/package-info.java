/**
 * Leases for fleet-wide tasks. A replicated table ({@link elderseam.fleet.lease.LeaseTable}), to which commands are
 * applied in the order of the Raft log, grants, renews and releases leases with a fencing token that only increases.
 * {@link elderseam.fleet.lease.LeaseValidity} determines how long a holder may operate under its lease. Neither does
 * I/O; {@link elderseam.fleet.lease.LeaseStateMachine} runs the table in Apache Ratis,
 * {@link elderseam.fleet.lease.LeaseGroup} is a member of the group, and {@link elderseam.fleet.lease.LeaseRenewer}
 * acquires and renews a member's leases. The task classes decide, depending on the lease holder, whether a member
 * performs the task itself.
 */
package elderseam.fleet.lease;
