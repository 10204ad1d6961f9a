package elderseam.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The requests of one ordering key that are not settled, in the order in which they were handed in, and the verdict
 * which of them may be attempted: the first, once no attempt of the key is in flight and the key has rested. A request
 * that an earlier process accepted, or whose client has yet to hear its final answer, keeps its place. Not thread-safe.
 */
final class OrderedKeyQueue {
    /** Why the first request of a key is not attempted now. */
    enum Hold {
        /** Nothing of its key holds it. */
        NONE,
        /** An attempt of the key is in flight. */
        IN_FLIGHT,
        /** An attempt of unknown end may still run. */
        RESTING,
        /** An earlier request of the key is not settled. */
        EARLIER_REQUEST
    }

    final long key;
    /** Attempts of the key in flight. */
    int inFlight;
    /** No attempt of the key begins before this time. */
    long restUntil = Long.MIN_VALUE;

    private final Set<String> unsettled = new LinkedHashSet<>();

    OrderedKeyQueue(long key) {
        this.key = key;
    }

    /** Takes the last place for a request; one that has a place keeps it. */
    void add(String id) {
        unsettled.add(id);
    }

    /** The request is settled: the next one is first. */
    void remove(String id) {
        unsettled.remove(id);
    }

    boolean isEmpty() {
        return unsettled.isEmpty() && inFlight == 0;
    }

    /** No attempt of the key begins before that time. */
    void rest(long until) {
        restUntil = Math.max(restUntil, until);
    }

    /** What holds the request back. */
    Hold holdOf(String id, long now) {
        if (!id.equals(first())) {
            return Hold.EARLIER_REQUEST;
        }
        if (inFlight > 0) {
            return Hold.IN_FLIGHT;
        }
        return now < restUntil ? Hold.RESTING : Hold.NONE;
    }

    /** The first request that is not settled; null if there is none. */
    String first() {
        return unsettled.isEmpty() ? null : unsettled.iterator().next();
    }

    /** How many requests are not settled. */
    int size() {
        return unsettled.size();
    }
}
