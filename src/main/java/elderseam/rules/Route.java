package elderseam.rules;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import elderseam.rules.RuleEnvironment.Breaker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;

/**
 * A route: one of several destinations for a key, the same each time while the route is the same. Weighted rendezvous hashing (Thaler
 * and Ravishankar 1998; the weights after Schindelhauer and Schomaker 2005): the destination with the highest
 * {@code -weight / ln(hash)} takes the key, so that one that comes or goes moves only its own share. A canary takes keys whose own
 * hash lies below its share, which grows step by step with the clock alone, the same in each instance and without their talking;
 * what it has taken stays with it while it grows. The destination is chosen once, before the message is taken on: which endpoint of
 * it, and whether again, is the module's to decide.
 */
final class Route {
    /** {@code shares}: of all keys, in hundredths; from {@code fromMs} on a further step each {@code everyMs}. */
    record Canary(long destination, double[] shares, long fromMs, long everyMs) {
        double share(long wallMs) {
            long step = wallMs < fromMs ? -1 : (wallMs - fromMs) / everyMs;
            return step < 0 ? 0 : shares[(int) Math.min(step, shares.length - 1)] / 100;
        }
    }

    record Member(long destination, double weight) {}

    private static final Hasher64 HASH = Hashing.komihash5_0();
    private static final long CANARY = 0x63616e617279L;

    final String name, header;
    private final List<Member> members;
    private final Map<String, List<Long>> subsets;
    private final List<Long> fallbacks;
    private final Canary canary; // or null

    Route(
            String name,
            List<Member> members,
            Map<String, List<Long>> subsets,
            List<Long> fallbacks,
            Canary canary,
            String header) {
        this.name = name;
        this.members = members;
        this.subsets = subsets;
        this.fallbacks = fallbacks;
        this.canary = canary;
        this.header = header;
    }

    boolean has(String subset) {
        return subset.isEmpty() || subsets.containsKey(subset);
    }

    /** Every destination that it may name. */
    List<Long> all() {
        List<Long> all =
                new ArrayList<>(members.stream().map(Member::destination).toList());
        all.addAll(fallbacks);
        if (canary != null) {
            all.add(canary.destination);
        }
        return all;
    }

    /**
     * The destination for a key. One whose breaker is open is passed over for the next in the key's own order, then for the
     * fallbacks; where all are open the first stands, and the module says what becomes of the message.
     *
     * @param subset of its members; empty for all
     * @param told by the header: a destination of this route, or one of its subsets; empty for none
     * @return -1 where what was told is none of them
     */
    long destination(String key, String subset, String told, long wallMs, LongFunction<Breaker> breaker) {
        String among = subset;
        if (!told.isEmpty()) {
            if (told.matches("\\d{1,18}") && all().contains(Long.parseLong(told))) {
                return Long.parseLong(told);
            }
            if (!subsets.containsKey(told)) {
                return -1;
            }
            among = told;
        }
        long hash = HASH.hashCharsToLong(key);
        if (canary != null
                && among.isEmpty()
                && unit(HASH.hashLongLongToLong(hash, CANARY)) < canary.share(wallMs)
                && breaker.apply(canary.destination) != Breaker.OPEN) {
            return canary.destination;
        }
        List<Long> order = order(hash, among);
        for (long d : order) {
            if (breaker.apply(d) != Breaker.OPEN) {
                return d;
            }
        }
        for (long d : fallbacks) {
            if (breaker.apply(d) != Breaker.OPEN) {
                return d;
            }
        }
        return order.get(0);
    }

    private List<Long> order(long hash, String subset) {
        record Ranked(long destination, double score) {}
        List<Long> of = subset.isEmpty() ? null : subsets.get(subset);
        List<Ranked> all = new ArrayList<>();
        for (Member m : members) {
            if (of == null || of.contains(m.destination)) {
                all.add(new Ranked(
                        m.destination, -m.weight / Math.log(unit(HASH.hashLongLongToLong(hash, m.destination)))));
            }
        }
        all.sort(Comparator.comparingDouble((Ranked r) -> -r.score).thenComparingLong(Ranked::destination));
        return all.stream().map(Ranked::destination).toList();
    }

    /** Above 0 and below 1. */
    private static double unit(long hash) {
        return ((hash >>> 11) + 0.5) * 0x1p-53;
    }
}
