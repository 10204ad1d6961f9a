package elderseam.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * What travels along with other messages: for each subject the newest thing to say, a bounded number of times; what was said
 * least goes first, of those the newest. Bounded by the number of subjects, {@code most}: beyond it what was said most often
 * gives way.
 */
final class Spread<T> {
    private static final class Entry<T> {
        final String subject;
        T what;
        int said;
        long age;

        Entry(String subject) {
            this.subject = subject;
        }
    }

    private final int most;
    private final ToIntFunction<T> size;
    private final Map<String, Entry<T>> entries = new HashMap<>();
    private long clock;

    Spread(int most, ToIntFunction<T> size) {
        this.most = most;
        this.size = size;
    }

    /** Says this of that subject from now on, anew. */
    void say(String subject, T what) {
        Entry<T> e = entries.get(subject);
        if (e == null) {
            if (entries.size() >= most) {
                entries.remove(entries.values().stream().max(Comparator.<Entry<T>>comparingInt(x -> x.said)
                        .thenComparingLong(x -> -x.age).thenComparing(x -> x.subject)).orElseThrow().subject);
            }
            e = new Entry<>(subject);
            entries.put(subject, e);
        }
        e.what = what;
        e.said = 0;
        e.age = clock++;
    }

    /** What fits into so many bytes; each counts as said, and is forgotten after {@code times}. */
    List<T> take(int bytes, int times) {
        List<Entry<T>> order = new ArrayList<>(entries.values());
        order.sort(Comparator.<Entry<T>>comparingInt(e -> e.said).thenComparingLong(e -> -e.age));
        List<T> taken = new ArrayList<>();
        int left = bytes;
        for (Entry<T> e : order) {
            int n = size.applyAsInt(e.what);
            if (n <= left) {
                left -= n;
                taken.add(e.what);
                if (++e.said >= times) {
                    entries.remove(e.subject);
                }
            }
        }
        return taken;
    }

    void forget(String subject) {
        entries.remove(subject);
    }

    int subjects() {
        return entries.size();
    }
}
