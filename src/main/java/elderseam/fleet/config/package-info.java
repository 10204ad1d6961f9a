/**
 * Configuration versions that all members of a fleet agree on, with settings, rules and the address of discovery.
 * {@link elderseam.fleet.config.VersionTable} is the table of versions, replicated in the same Raft log as the leases;
 * {@link elderseam.fleet.config.VersionActivation} decides which version a member may act on, and when it may act on
 * none. Both do no I/O. {@link elderseam.fleet.config.VersionStore} stores versions in a member's directory, and {@link
 * elderseam.fleet.config.VersionContent} reads the files of a proposal.
 */
package elderseam.fleet.config;
