package elderseam.policy;

/**
 * The ordering keys, counted.
 *
 * @param keys with requests that are not settled
 * @param inFlight keys with an attempt in flight
 * @param resting keys that rest after an attempt of unknown end
 * @param unsettled requests that have an ordering key and are not settled
 */
public record OrderedKeyCounts(int keys, int inFlight, int resting, int unsettled) {}
