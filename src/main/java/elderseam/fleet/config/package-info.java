/**
 * Settings, rules and the address of discovery in versions that a fleet agrees on: a replicated table of versions ({@link
 * elderseam.fleet.config.VersionTable}) in the Raft log beside the leases, and a member's own rule of which version it may
 * act on and when it may act on none ({@link elderseam.fleet.config.VersionActivation}). Decisions without I/O, except
 * {@link elderseam.fleet.config.VersionStore}, a member's directory, and {@link elderseam.fleet.config.VersionContent},
 * which reads what is proposed.
 */
package elderseam.fleet.config;
