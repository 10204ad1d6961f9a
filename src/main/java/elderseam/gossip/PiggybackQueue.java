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
 * What travels along with other messages: for each subject the newest thing to say, a bounded number of times; what was said
 * least goes first, of those the weightiest, then the newest. Bounded by the number of subjects, {@code most}: beyond it what was said most often
 * gives way.
 */
final class PiggybackQueue<T> {
    private static final int LEAST = 24; // bytes: nothing that travels along is shorter

    private static final class Entry<T> {
        final String subject;
        T what;
        int said, weight;
        long age;

        Entry(String subject) {
            this.subject = subject;
        }
    }

    private final int most;
    private final ToIntFunction<T> size;
    private final Map<String, Entry<T>> entries = new HashMap<>();
    /** Next to be said first; no two have one age. */
    private final TreeSet<Entry<T>> order = new TreeSet<>(Comparator.<Entry<T>>comparingInt(e -> e.said)
            .thenComparingInt(e -> -e.weight)
            .thenComparingLong(e -> -e.age));

    private long clock;

    PiggybackQueue(int most, ToIntFunction<T> size) {
        this.most = most;
        this.size = size;
    }

    /** Says this of that subject from now on, anew. */
    void say(String subject, T what) {
        say(subject, what, 0);
    }

    /** The same; of what was said as often, what has more weight goes first. */
    void say(String subject, T what, int weight) {
        Entry<T> e = entries.get(subject);
        if (e == null) {
            if (entries.size() >= most) {
                entries.remove(order.pollLast().subject);
            }
            e = new Entry<>(subject);
            entries.put(subject, e);
        } else {
            order.remove(e);
        }
        e.what = what;
        e.said = 0;
        e.weight = weight;
        e.age = clock++;
        order.add(e);
    }

    /** What fits into so many bytes; each counts as said, and is forgotten after {@code times}. */
    List<T> take(int bytes, int times) {
        List<Entry<T>> said = new ArrayList<>();
        int left = bytes;
        for (Iterator<Entry<T>> i = order.iterator(); i.hasNext() && left >= LEAST; ) {
            Entry<T> e = i.next();
            int n = size.applyAsInt(e.what);
            if (n <= left) {
                left -= n;
                said.add(e);
                i.remove();
            }
        }
        List<T> taken = new ArrayList<>(said.size());
        for (Entry<T> e : said) {
            taken.add(e.what);
            if (++e.said >= times) {
                entries.remove(e.subject);
            } else {
                order.add(e);
            }
        }
        return taken;
    }

    void forget(String subject) {
        Entry<T> e = entries.remove(subject);
        if (e != null) {
            order.remove(e);
        }
    }

    int subjects() {
        return entries.size();
    }
}
