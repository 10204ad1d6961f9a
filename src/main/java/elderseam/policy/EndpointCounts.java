package elderseam.policy;

/**
 * Numbers of endpoints.
 *
 * @param listed endpoints in the endpoint list
 * @param unavailable listed endpoints that get no calls at present: draining, ejected by an operator or by a breaker
 */
public record EndpointCounts(int listed, int unavailable) {}
