package elderseam.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Queue of contents to piggyback on messages (SWIM, section 4.1). Stores the newest content of each subject, which is
 * sent a bounded number of times. The order of sending is: fewest sends first, then highest priority, then newest. If
 * the queue is full, a new subject evicts the last subject in this order.
 */
final class PiggybackQueue<T> {
    /** Lower bound on the size of a content in bytes. With less space left, the search for fitting contents ends. */
    private static final int MIN_CONTENT_BYTES = 24;

    private static final class Entry<T> {
        final String subject;
        T content;
        int sendCount;
        int priority;
        long insertion; // unique and increasing, so that no two entries compare as equal

        Entry(String subject) {
            this.subject = subject;
        }
    }

    private final int maxSubjects;
    private final ToIntFunction<T> sizeInBytes;
    private final Map<String, Entry<T>> bySubject = new HashMap<>();
    private final TreeSet<Entry<T>> sendOrder =
            new TreeSet<>(Comparator.<Entry<T>>comparingInt(entry -> entry.sendCount)
                    .thenComparingInt(entry -> -entry.priority)
                    .thenComparingLong(entry -> -entry.insertion));

    private long nextInsertion;

    PiggybackQueue(int maxSubjects, ToIntFunction<T> sizeInBytes) {
        this.maxSubjects = maxSubjects;
        this.sizeInBytes = sizeInBytes;
    }

    /** Sets the content of the subject with priority 0, and resets its send count. */
    void put(String subject, T content) {
        put(subject, content, 0);
    }

    /** Sets the content and priority of the subject, and resets its send count. */
    void put(String subject, T content, int priority) {
        Entry<T> entry = bySubject.get(subject);
        if (entry == null) {
            entry = insert(subject);
        } else {
            sendOrder.remove(entry);
        }
        entry.content = content;
        entry.sendCount = 0;
        entry.priority = priority;
        entry.insertion = nextInsertion++;
        sendOrder.add(entry);
    }

    private Entry<T> insert(String subject) {
        if (bySubject.size() >= maxSubjects) {
            bySubject.remove(sendOrder.pollLast().subject);
        }
        Entry<T> entry = new Entry<>(subject);
        bySubject.put(subject, entry);
        return entry;
    }

    /**
     * Returns the contents, in order of sending, that fit into {@code maxBytes}, and counts them as sent. A content
     * that has been sent {@code maxSends} times is removed.
     */
    List<T> take(int maxBytes, int maxSends) {
        List<Entry<T>> fitting = removeFitting(maxBytes);
        List<T> contents = new ArrayList<>(fitting.size());
        for (Entry<T> entry : fitting) {
            contents.add(entry.content);
            entry.sendCount++;
            if (entry.sendCount >= maxSends) {
                bySubject.remove(entry.subject);
            } else {
                sendOrder.add(entry);
            }
        }
        return contents;
    }

    private List<Entry<T>> removeFitting(int maxBytes) {
        List<Entry<T>> fitting = new ArrayList<>();
        int bytesLeft = maxBytes;
        Iterator<Entry<T>> entries = sendOrder.iterator();
        while (entries.hasNext() && bytesLeft >= MIN_CONTENT_BYTES) {
            Entry<T> entry = entries.next();
            int size = sizeInBytes.applyAsInt(entry.content);
            if (size <= bytesLeft) {
                bytesLeft -= size;
                fitting.add(entry);
                entries.remove();
            }
        }
        return fitting;
    }

    void remove(String subject) {
        Entry<T> entry = bySubject.remove(subject);
        if (entry != null) {
            sendOrder.remove(entry);
        }
    }

    boolean isEmpty() {
        return bySubject.isEmpty();
    }
}
