package elderseam.policy;

/**
 * A kind of destination.
 *
 * @param routesApart each endpoint is a route with a breaker of its own
 * @param batch how many requests a call may carry
 */
public record DestinationKind(boolean routesApart, int batch) {}
