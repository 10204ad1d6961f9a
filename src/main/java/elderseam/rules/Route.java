package elderseam.rules;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import elderseam.rules.RuleEnvironment.Breaker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.regex.Pattern;

/**
 * Assigns keys to destinations: the same key always gets the same destination while the route is the same. Weighted
 * rendezvous hashing (Thaler and Ravishankar 1998; the weights after Schindelhauer and Schomaker 2005): the destination
 * with the highest score {@code -weight / ln(hash)} gets the key, so that adding or removing one moves only its own
 * share of the keys. A canary gets the keys whose own hash is below its share. The share grows in steps with the wall
 * clock alone, so that all dispatchers agree without communicating, and a key that the canary has got stays there while
 * it grows. The destination is chosen once, before the message is accepted; endpoints and retries are the policy's.
 *
 * <p>Immutable.
 *
 * @param subsets members by name of a subset
 * @param fallbacks destinations that are used, in this order, while the breakers of all members are open
 * @param canary null for none
 * @param header lower-case name of the request header that overrides the choice; empty for none
 */
record Route(
        String name,
        List<Member> members,
        Map<String, List<Long>> subsets,
        List<Long> fallbacks,
        Canary canary,
        String header) {
    /** Returned where a header asks for something that is not in the route. */
    static final long NO_DESTINATION = -1;

    private static final Hasher64 HASH = Hashing.komihash5_0();
    private static final long CANARY_SEED = 0x63616e617279L; // "canary" in ASCII
    private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

    /** A destination that takes keys in proportion to its weight. */
    record Member(long destination, double weight) {}

    /**
     * A destination that takes a growing share of all keys.
     *
     * @param stepsPercent the shares, one after another; the last stays
     * @param startMs when the first step begins, in milliseconds since the epoch; the share is 0 before
     * @param stepMs how long each step lasts
     */
    record Canary(long destination, List<Double> stepsPercent, long startMs, long stepMs) {
        /** The share of all keys at this time, from 0 to 1. */
        double share(long wallMs) {
            if (wallMs < startMs) {
                return 0;
            }
            long step = (wallMs - startMs) / stepMs;
            return stepsPercent.get((int) Math.min(step, stepsPercent.size() - 1)) / 100;
        }
    }

    /** Whether this names a subset of the route, or is empty for all members. */
    boolean hasSubset(String subset) {
        return subset.isEmpty() || subsets.containsKey(subset);
    }

    /**
     * Returns the destination for a key. A destination whose breaker is open is skipped for the next in the key's own
     * order, then for the fallbacks; where all are open the first is returned, and the policy decides what becomes of
     * the message.
     *
     * @param subset the members to choose from; empty for all
     * @param override value of the route's header: a destination of this route, or a subset; empty for none
     * @param wallMs milliseconds since the epoch
     * @param breakers the breaker by destination
     * @return {@link #NO_DESTINATION} if the override is neither
     */
    long destination(String key, String subset, String override, long wallMs, LongFunction<Breaker> breakers) {
        String candidates = subset;
        if (!override.isEmpty()) {
            if (NUMBER.matcher(override).matches() && allDestinations().contains(Long.parseLong(override))) {
                return Long.parseLong(override);
            }
            if (!subsets.containsKey(override)) {
                return NO_DESTINATION;
            }
            candidates = override;
        }
        long hash = HASH.hashCharsToLong(key);
        if (candidates.isEmpty() && takenByCanary(hash, wallMs) && isUsable(canary.destination, breakers)) {
            return canary.destination;
        }
        List<Long> ranking = ranking(hash, candidates);
        for (long destination : ranking) {
            if (isUsable(destination, breakers)) {
                return destination;
            }
        }
        for (long destination : fallbacks) {
            if (isUsable(destination, breakers)) {
                return destination;
            }
        }
        return ranking.get(0);
    }

    private List<Long> allDestinations() {
        List<Long> all = new ArrayList<>();
        for (Member member : members) {
            all.add(member.destination);
        }
        all.addAll(fallbacks);
        if (canary != null) {
            all.add(canary.destination);
        }
        return all;
    }

    private boolean takenByCanary(long keyHash, long wallMs) {
        return canary != null && toUnitInterval(HASH.hashLongLongToLong(keyHash, CANARY_SEED)) < canary.share(wallMs);
    }

    private static boolean isUsable(long destination, LongFunction<Breaker> breakers) {
        return breakers.apply(destination) != Breaker.OPEN;
    }

    /** The members of a subset, or all of them, by falling score for this key. */
    private List<Long> ranking(long keyHash, String subset) {
        record Scored(long destination, double score) {}
        List<Long> candidates = subset.isEmpty() ? null : subsets.get(subset);
        List<Scored> scored = new ArrayList<>();
        for (Member member : members) {
            if (candidates == null || candidates.contains(member.destination)) {
                double hash = toUnitInterval(HASH.hashLongLongToLong(keyHash, member.destination));
                scored.add(new Scored(member.destination, -member.weight / Math.log(hash)));
            }
        }
        scored.sort(Comparator.comparingDouble((Scored entry) -> -entry.score).thenComparingLong(Scored::destination));
        return scored.stream().map(Scored::destination).toList();
    }

    /** Maps a hash to a number above 0 and below 1. */
    private static double toUnitInterval(long hash) {
        return ((hash >>> 11) + 0.5) * 0x1p-53;
    }
}
