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

    /** Whether the request is the oldest of its key, and nothing of the key is in flight or resting. */
    boolean isNext(PendingRequest request, long now) {
        return queue.peek() == request && inFlight == 0 && now >= restUntil;
    }

    void rest(long until) {
        restUntil = Math.max(restUntil, until);
    }
}
