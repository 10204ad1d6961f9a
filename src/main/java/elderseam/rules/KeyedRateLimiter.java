package elderseam.rules;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A limit for each of many keys, by the generic cell rate algorithm (ITU-T I.371, "virtual scheduling"): of each key only the time at
 * which it would be empty again is kept. Bounded in number: a key is let go only when its bucket is full again, so that a flooder
 * gains nothing by handing in keys until its own is let go; while none can be let go, all further keys share one bucket.
 */
final class KeyedRateLimiter {
    private static final int LOOK = 8; // eldest that are looked at for one to let go

    final String name;
    private final long interval, tolerance;
    private final int most;
    private final Map<String, long[]> empty = new LinkedHashMap<>(16, 0.75f, true); // the longest unused first
    private final long[] shared = new long[1];
    private long crowded;

    /** {@code rate} a second, of which {@code burst} may come at once; {@code most} keys of their own. */
    KeyedRateLimiter(String name, double rate, int burst, int most) {
        this.name = name;
        this.interval = Math.max(1, Math.round(1e9 / rate));
        this.tolerance = interval * (burst - 1);
        this.most = most;
        this.shared[0] = Long.MIN_VALUE / 2;
    }

    /** How long one more with that key had better wait; 0 where it conforms. Nothing is taken. */
    long waitNs(String key, long now) {
        long[] at = empty.get(key);
        if (at == null) {
            if (room(now)) {
                return 0;
            }
            at = shared;
        }
        return Math.max(0, at[0] - tolerance - now);
    }

    /** One that conforms is taken. */
    void take(String key, long now) {
        long[] at = empty.get(key);
        if (at == null && room(now)) {
            at = new long[] {now};
            empty.put(key, at);
        } else if (at == null) {
            at = shared;
            crowded++;
        }
        at[0] = Math.max(now, at[0]) + interval;
    }

    private boolean room(long now) {
        Iterator<Map.Entry<String, long[]>> eldest = empty.entrySet().iterator();
        for (int i = 0; empty.size() >= most && i < LOOK && eldest.hasNext(); i++) {
            if (eldest.next().getValue()[0] <= now) {
                eldest.remove();
            }
        }
        return empty.size() < most;
    }

    int size() {
        return empty.size();
    }

    /** Messages that went to the shared bucket. */
    long crowded() {
        return crowded;
    }

    /** Takes over what an earlier one of the same limit knows: a reload forgives nobody. */
    void inherit(KeyedRateLimiter old) {
        for (Map.Entry<String, long[]> e : old.empty.entrySet()) {
            if (empty.size() < most) {
                empty.put(e.getKey(), e.getValue().clone());
            }
        }
        shared[0] = old.shared[0];
    }
}
