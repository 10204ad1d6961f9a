/**
 * What one dispatcher's part is of what all of them do: how many share a destination ({@link
 * elderseam.fleet.partition.FleetSizeEstimator}), which endpoints it prefers ({@link elderseam.fleet.partition.EndpointSubsetting}) and whose turn it is
 * ({@link elderseam.fleet.partition.TurnSchedule}).
 * Decisions without I/O, fed by whatever membership there is: a number told by the platform, or what gossip shows.
 */
package elderseam.fleet.partition;
