package elderseam.policy;

/**
 * Numbers of ordering keys and of their requests. A request is settled once its client has received the final outcome,
 * or none is due.
 *
 * @param keys keys with requests that are not settled
 * @param inFlight keys with an attempt in flight
 * @param resting keys whose attempts are paused after an attempt whose outcome is unknown
 * @param unsettled requests that have an ordering key and are not settled
 */
public record OrderedKeyCounts(int keys, int inFlight, int resting, int unsettled) {}
