/**
 * What one dispatcher's part is of what all of them do: how many share a destination ({@link
 * elderseam.fleet.share.FleetSize}), which endpoints it prefers ({@link elderseam.fleet.share.Subsets}) and whose turn it is
 * ({@link elderseam.fleet.share.Turns}).
 * Decisions without I/O, fed by whatever membership there is: a number told by the platform, or what gossip shows.
 */
package elderseam.fleet.share;
