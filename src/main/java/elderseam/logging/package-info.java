/**
 * Log events of the running server: a stable event name and key=value fields, through SLF4J. The events are listed in
 * {@code docs/log-events.md}. What a command prints is output, not a log, and does not go through here.
 */
package elderseam.logging;
