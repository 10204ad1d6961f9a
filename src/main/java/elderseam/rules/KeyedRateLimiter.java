package elderseam.rules;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A rate limit for each of many keys, by the generic cell rate algorithm (ITU-T I.371, "virtual scheduling"): a key's
 * token bucket is one number, its theoretical arrival time, at which the bucket is full again. The number of buckets is
 * bounded. A bucket is dropped only once it is full, so that a client gains nothing by inventing keys until its own
 * bucket is evicted; while none can be dropped, all further keys share one bucket. Times are nanoseconds of the
 * dispatcher's clock; confined to the thread that evaluates rules.
 */
final class KeyedRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    /** How many of the least recently used buckets are examined when one has to be dropped. */
    private static final int EVICTION_CANDIDATES = 8;

    final String name;
    private final long intervalNs;
    private final long burstToleranceNs;
    private final int maxKeys;

    /** Theoretical arrival time by key, in an array of one so that it changes in place; least recently used first. */
    private final Map<String, long[]> arrivalTimes = new LinkedHashMap<>(16, 0.75f, true);

    private final long[] sharedArrivalTime = {Long.MIN_VALUE / 2};
    private long sharedBucketUses;

    /**
     * @param ratePerSecond for each key
     * @param burst how many requests of a key may come at once
     * @param maxKeys how many keys have a bucket of their own
     */
    KeyedRateLimiter(String name, double ratePerSecond, int burst, int maxKeys) {
        this.name = name;
        this.intervalNs = Math.max(1, Math.round(NANOS_PER_SECOND / ratePerSecond));
        this.burstToleranceNs = intervalNs * (burst - 1);
        this.maxKeys = maxKeys;
    }

    /** Returns how long the next request with this key has to wait; 0 if it conforms. Takes no token. */
    long waitNs(String key, long nowNs) {
        long[] arrivalTime = arrivalTimes.get(key);
        if (arrivalTime == null) {
            if (hasRoom(nowNs)) {
                return 0;
            }
            arrivalTime = sharedArrivalTime;
        }
        return Math.max(0, arrivalTime[0] - burstToleranceNs - nowNs);
    }

    /** Takes a token for a request that conforms. */
    void take(String key, long nowNs) {
        long[] arrivalTime = arrivalTimes.get(key);
        if (arrivalTime == null && hasRoom(nowNs)) {
            arrivalTime = new long[] {nowNs};
            arrivalTimes.put(key, arrivalTime);
        } else if (arrivalTime == null) {
            arrivalTime = sharedArrivalTime;
            sharedBucketUses++;
        }
        arrivalTime[0] = Math.max(nowNs, arrivalTime[0]) + intervalNs;
    }

    /** Whether another key may have a bucket; drops full ones if that is needed. */
    private boolean hasRoom(long nowNs) {
        Iterator<Map.Entry<String, long[]>> leastRecentlyUsed =
                arrivalTimes.entrySet().iterator();
        for (int i = 0; arrivalTimes.size() >= maxKeys && i < EVICTION_CANDIDATES && leastRecentlyUsed.hasNext(); i++) {
            if (leastRecentlyUsed.next().getValue()[0] <= nowNs) {
                leastRecentlyUsed.remove();
            }
        }
        return arrivalTimes.size() < maxKeys;
    }

    /** The number of keys with a bucket of their own. */
    int keyCount() {
        return arrivalTimes.size();
    }

    /** How many requests took their token from the shared bucket. */
    long sharedBucketUses() {
        return sharedBucketUses;
    }

    /** Takes over the buckets of an earlier limiter of the same name, so that a reload fills none of them. */
    void inherit(KeyedRateLimiter earlier) {
        for (Map.Entry<String, long[]> bucket : earlier.arrivalTimes.entrySet()) {
            if (arrivalTimes.size() < maxKeys) {
                arrivalTimes.put(bucket.getKey(), bucket.getValue().clone());
            }
        }
        sharedArrivalTime[0] = earlier.sharedArrivalTime[0];
    }
}
