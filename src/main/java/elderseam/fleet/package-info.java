/**
 * The fleet: what several dispatchers do together. {@code lease} holds tasks that one dispatcher does for all, agreed
 * through an embedded consensus engine (Apache Ratis); later parts (the rig, shares, versions of settings) stand beside it.
 * Wired in one place, {@code elderseam.app}; off unless the settings ask for it.
 */
package elderseam.fleet;
