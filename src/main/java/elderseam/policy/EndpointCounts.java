package elderseam.policy;

/**
 * How many endpoints are listed.
 *
 * @param unavailable those that get no calls now: draining, ejected by an operator or by a breaker
 */
public record EndpointCounts(int listed, int unavailable) {}
