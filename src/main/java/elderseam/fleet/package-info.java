/**
 * Cooperation between several dispatchers: {@code lease} for tasks that one member performs on behalf of all,
 * coordinated by an embedded consensus engine (Apache Ratis), {@code config} for configuration versions in the same
 * Raft log, and {@code partition} for work that is divided among the members. This package contains the types that they
 * share. {@code elderseam.app} connects them to the dispatcher; they are disabled unless the settings enable them.
 */
package elderseam.fleet;
