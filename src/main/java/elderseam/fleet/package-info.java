/**
 * What several dispatchers do together: {@code lease} for tasks that one member performs for all, agreed on through an
 * embedded consensus engine (Apache Ratis), {@code config} for configuration versions in the same log, and {@code
 * partition} for a member's part of what all do. Here stands what these share. {@code elderseam.app} connects them to the
 * dispatcher; off unless the settings ask for it.
 */
package elderseam.fleet;
