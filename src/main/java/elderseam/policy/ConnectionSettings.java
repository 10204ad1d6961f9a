package elderseam.policy;

/**
 * Limits of connections to endpoints.
 *
 * @param idleNs an idle one is closed after this time; 0: none is kept
 * @param maxCalls how many calls one carries at once
 * @param timeoutNs one that is not open after this time has failed
 */
public record ConnectionSettings(long idleNs, int maxCalls, long timeoutNs) {}
