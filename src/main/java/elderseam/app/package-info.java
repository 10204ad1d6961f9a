/**
 * The wiring floor: where the parts below are put together into one running process. The daemon, its start and hand-over
 * between processes (accession, succession, standby), the optional parts each in its own wiring (events, gossip, rules),
 * reloads, the operators' file, training for the class-data archive and the rehearsal commands. Nothing below imports this
 * package; only {@code elderseam.Main} above it does.
 */
package elderseam.app;
