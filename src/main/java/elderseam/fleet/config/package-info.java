/**
 * Settings, rules and the place of discovery in versions that a fleet agrees on: a replicated table of versions ({@link
 * elderseam.fleet.config.VersionTable}) in the engine's log beside the leases, and a member's own rule of which version it may act
 * on, and when it may not act on any ({@link elderseam.fleet.config.VersionActivation}). Decisions without I/O, but for the folder that
 * keeps what a member acted on last.
 */
package elderseam.fleet.config;
