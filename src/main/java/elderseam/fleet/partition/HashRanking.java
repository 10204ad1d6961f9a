package elderseam.fleet.partition;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** Orders names by the hash of each name combined with a key (rendezvous hashing). Stateless and thread-safe. */
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
     * Returns the indexes of {@code candidates} in ascending order of their scores for {@code key}. Hashes each pair
     * once and sorts by insertion, which suits the few endpoints of a destination.
     */
    static int[] rankSmallList(long key, long[] candidates) {
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

    /** Returns the same order as {@link #rankSmallList}, for a large list such as all members of a fleet. */
    static int[] rankLargeList(long key, long[] candidates) {
        Comparator<Integer> byScore = Comparator.comparingLong(i -> HASH.hashLongLongToLong(key, candidates[i]));
        return IntStream.range(0, candidates.length)
                .boxed()
                .sorted(byScore.thenComparing(Comparator.naturalOrder()))
                .mapToInt(Integer::intValue)
                .toArray();
    }
}
