package elderseam.policy;

/**
 * Limits of connections to endpoints.
 *
 * @param idleNs time after which an idle connection is closed, in nanoseconds; 0 if idle connections are closed at once
 * @param maxCalls maximum number of concurrent calls on a connection
 * @param timeoutNs connect timeout, in nanoseconds
 */
public record ConnectionSettings(long idleNs, int maxCalls, long timeoutNs) {}
