package elderseam.fleet.partition;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** Orders names by their hash together with another name (rendezvous hashing). Stateless and thread-safe. */
final class HashRanking {
    private static final Hasher64 HASH = Hashing.wyhashFinal4();

    private HashRanking() {}

    static long hash(String name) {
        return HASH.hashCharsToLong(name);
    }

    static long[] hashes(List<String> names) {
        return names.stream().mapToLong(HASH::hashCharsToLong).toArray();
    }

    /**
     * Returns the indexes of {@code candidates} in the order of their scores with {@code key}. Each pair is hashed once;
     * sorted by insertion, because a destination has few endpoints.
     */
    static int[] rankFew(long key, long[] candidates) {
        long[] scores = new long[candidates.length];
        int[] order = new int[candidates.length];
        for (int i = 0; i < candidates.length; i++) {
            long score = HASH.hashLongLongToLong(key, candidates[i]);
            int position = i;
            while (position > 0 && scores[position - 1] > score) {
                scores[position] = scores[position - 1];
                order[position] = order[position - 1];
                position--;
            }
            scores[position] = score;
            order[position] = i;
        }
        return order;
    }

    /** The same for many candidates, such as all members of a fleet. */
    static int[] rankMany(long key, long[] candidates) {
        Comparator<Integer> byScore = Comparator.comparingLong(i -> HASH.hashLongLongToLong(key, candidates[i]));
        return IntStream.range(0, candidates.length)
                .boxed()
                .sorted(byScore.thenComparing(Comparator.naturalOrder()))
                .mapToInt(Integer::intValue)
                .toArray();
    }
}
