/**
 * The policy: every decision on the endpoint of an attempt, on retries and on rejections, without I/O, threads or
 * clocks. {@link elderseam.policy.DispatchPolicy} is the entry. The host tells it events with their times and carries
 * out the actions it asks for; everything is confined to the one thread that tells events.
 *
 * <p>The files that decide, and are named under {@code policy} in deploy/balancer.toml: CircuitBreaker (whether a
 * group of endpoints is called at all), TicketPool (how many calls at once), RateController (how often, slow start,
 * back-off, Retry-After), EndpointSelector (which endpoint), RequestScheduler (which request first), RetryPolicy and
 * RetryBudget (whether and when again), LoadShedder (which request is given up), OutlierDetector (what failed or
 * hangs). The others hold state, statistics, views and the snapshot, and route events; IdleConnectionPolicy decides
 * only how long idle connections are kept.
 */
package elderseam.policy;
