/**
 * The policy: makes every decision on the endpoint of an attempt, on retries and on rejections, without I/O, threads or
 * clocks. {@link elderseam.policy.DispatchPolicy} is the entry point. The host reports events with their times and
 * carries out the actions that the policy requests; everything is confined to the one thread that reports events.
 *
 * <p>The following files make the decisions and are listed under {@code policy} in deploy/balancer.toml: CircuitBreaker
 * (whether a group of endpoints is called at all), TicketPool (how many calls are in flight at once), RateController
 * (rate of calls, slow start, backoff, Retry-After), EndpointSelector (which endpoint is called), RequestScheduler
 * (which request is attempted first), RetryPolicy and RetryBudget (whether and when a request is retried), LoadShedder
 * (which request is given up), OutlierDetector (which endpoints fail or hang). The others contain state, statistics,
 * views and the snapshot, and route events; IdleConnectionPolicy decides only how long idle connections stay open.
 */
package elderseam.policy;
