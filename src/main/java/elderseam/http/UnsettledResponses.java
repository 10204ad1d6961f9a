package elderseam.http;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The successful responses that further input on their connections may still refute, because each may belong to another
 * request. A response is settled once its request would have timed out, or when its connection is closed. Until then its
 * listener keeps the request, to repeat it. The bodies of these requests are limited in total: beyond the limit, the one
 * whose response is settled next is released, and its request can then be refuted, but not be repeated. Confined to the
 * I/O thread.
 */
final class UnsettledResponses {
    /** One response. */
    static final class Entry {
        private final ExchangeListener listener;
        private final long settledAt;
        private int retainedBytes;
        private boolean settled;

        private Entry(ExchangeListener listener, long settledAt) {
            this.listener = listener;
            this.settledAt = settledAt;
            this.retainedBytes = listener.retainedBytes();
        }

        /** Whether further input can no longer refute the response. */
        boolean isSettled(long now) {
            return settled || settledAt <= now;
        }

        /** Tells the listener that the response was probably that of another request. */
        void refute() {
            listener.refuted();
        }
    }

    private static final Comparator<Entry> BY_END = Comparator.comparingLong(entry -> entry.settledAt);

    private final long maxRetainedBytes;
    private final PriorityQueue<Entry> entries = new PriorityQueue<>(BY_END);
    private final PriorityQueue<Entry> withBody = new PriorityQueue<>(BY_END);
    private long retainedBytes;

    /**
     * @param maxRetainedBytes the maximum total size of the requests' bodies
     */
    UnsettledResponses(long maxRetainedBytes) {
        this.maxRetainedBytes = maxRetainedBytes;
    }

    /**
     * Adds a response.
     *
     * @param settledAt when its request would have timed out
     */
    Entry add(ExchangeListener listener, long settledAt) {
        Entry added = new Entry(listener, settledAt);
        entries.add(added);
        withBody.add(added);
        retainedBytes += added.retainedBytes;
        while (retainedBytes > maxRetainedBytes) {
            release(withBody.poll());
        }
        return added;
    }

    /** Settles a response. Does nothing if it is settled. */
    void settle(Entry entry) {
        if (!entry.settled) {
            entry.settled = true;
            entries.remove(entry);
            withBody.remove(entry);
            release(entry);
        }
    }

    /** Settles the responses whose time has come. */
    void settleExpired(long now) {
        while (!entries.isEmpty() && entries.peek().settledAt <= now) {
            settle(entries.peek());
        }
    }

    private void release(Entry entry) {
        if (entry.retainedBytes > 0) {
            retainedBytes -= entry.retainedBytes;
            entry.retainedBytes = 0;
            entry.listener.releaseRequest();
        }
    }

    /** Whether there is no response that could be refuted. */
    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** The total size of the requests' bodies that are retained, in bytes. */
    long retainedBytes() {
        return retainedBytes;
    }
}
