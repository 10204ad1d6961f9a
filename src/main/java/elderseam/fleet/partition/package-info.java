/**
 * Divides limits, endpoints and tasks among the dispatchers of a fleet: the number of dispatchers that share a limit
 * ({@link elderseam.fleet.partition.FleetSizeEstimator}), the endpoints that a dispatcher prefers ({@link
 * elderseam.fleet.partition.EndpointSubsetting}), and the member that performs a task ({@link
 * elderseam.fleet.partition.TurnSchedule}, {@link elderseam.fleet.partition.RecoveryProbeTurns}). Does no I/O. The
 * membership may come from any source: a size that the platform advertises, or the members known by gossip.
 */
package elderseam.fleet.partition;
