package elderseam.policy;

import java.util.ArrayDeque;

/** The unfinished requests of one ordering key, in the order of their arrival. Not thread-safe. */
final class OrderedKeyQueue {
    final ArrayDeque<PendingRequest> queue = new ArrayDeque<>();
    /** Attempts of the key in flight. */
    int inFlight;
    /** No attempt of the key begins before this time. */
    long restUntil;

    boolean isEmpty() {
        return queue.isEmpty() && inFlight == 0;
    }

    void rest(long until) {
        restUntil = Math.max(restUntil, until);
    }
}
