package elderseam.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The unsettled requests of one ordering key, in the order of their submission. Only the first may be attempted, and
 * only while no attempt of the key is in flight and the key does not rest. A key rests (starts no attempt) for a time
 * after an attempt whose outcome is unknown, since that may still run. A request that an earlier process accepted, or
 * whose client has yet to receive the final outcome, keeps its place. Not thread-safe.
 */
final class OrderedKeyQueue {
    /** Why the ordering key does not allow an attempt of a request now. */
    enum Hold {
        /** The key allows an attempt. */
        NONE,
        /** An attempt of the key is in flight. */
        IN_FLIGHT,
        /** An attempt whose outcome is unknown may still run. */
        RESTING,
        /** An earlier request of the key is not settled. */
        EARLIER_REQUEST
    }

    final long key;
    /** Number of attempts of the key in flight. */
    int inFlight;
    /** No attempt of the key starts before this time. */
    long restUntil = Long.MIN_VALUE;

    private final Set<String> unsettled = new LinkedHashSet<>();

    OrderedKeyQueue(long key) {
        this.key = key;
    }

    /** Appends a request; one that is already queued keeps its place. */
    void add(String id) {
        unsettled.add(id);
    }

    /** Removes a request that is settled. */
    void remove(String id) {
        unsettled.remove(id);
    }

    boolean isEmpty() {
        return unsettled.isEmpty() && inFlight == 0;
    }

    /** Pauses the attempts of the key until that time, or until a later one set before. */
    void rest(long until) {
        restUntil = Math.max(restUntil, until);
    }

    /** Why the key does not allow an attempt of the request now; {@link Hold#NONE} if it does. */
    Hold holdOf(String id, long now) {
        if (!id.equals(first())) {
            return Hold.EARLIER_REQUEST;
        }
        if (inFlight > 0) {
            return Hold.IN_FLIGHT;
        }
        return now < restUntil ? Hold.RESTING : Hold.NONE;
    }

    /** The id of the first request that is not settled; null if there is none. */
    String first() {
        return unsettled.isEmpty() ? null : unsettled.iterator().next();
    }

    /** Number of requests that are not settled. */
    int size() {
        return unsettled.size();
    }
}
