package elderseam.core;

/**
 * The connection that carries an attempt.
 *
 * @param number identifies the connection in the log of this process
 * @param earlierExchanges how many requests were answered on the connection before
 */
public record AttemptConnection(long number, int earlierExchanges) {}
