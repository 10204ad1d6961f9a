package elderseam.policy;

/**
 * A kind of destination.
 *
 * @param breakerPerEndpoint whether each endpoint is a separate route with its own breaker
 * @param batch maximum number of requests in a call
 */
public record DestinationKind(boolean breakerPerEndpoint, int batch) {}
