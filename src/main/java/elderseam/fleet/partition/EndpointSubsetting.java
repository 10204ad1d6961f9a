package elderseam.fleet.partition;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which endpoints of a destination each member prefers. Every member computes the whole of it from the same names, so no word
 * is exchanged; where the names that two members have differ, they differ for a while in few places.
 *
 * <p>Three ways, to be compared ({@code lab subsets}): the deterministic subsets of Google's SRE book (chapter 20: shuffled rounds
 * over the member's rank; even, and a member that goes shifts the rank of all behind it), rendezvous hashing (Thaler and Ravishankar
 * 1998; few move, and chance makes it uneven), and rendezvous hashing with bounded loads, after the bounded loads that Mirrokni,
 * Thorup and Zadimoghaddam (2018) gave consistent hashing: in the order of their hashes the members take their best endpoints of those
 * that have not had their part yet. The last one is used.
 */
public final class EndpointSubsetting {
    public enum Way {
        SRE("sre"),
        RENDEZVOUS("rendezvous"),
        BOUNDED("bounded");

        private final String wireName;

        Way(String wireName) {
            this.wireName = wireName;
        }

        /** The way in the table of {@code lab subsets}. */
        public String wireName() {
            return wireName;
        }
    }

    /** How much above an even part an endpoint may be taken: less evens more, and moves more when the fleet changes. */
    static final double SLACK = 1.05;

    private static final Hasher64 HASH = Hashing.wyhashFinal4();
    private static final long ORDER = 1; // the members' own order, beside the scores of pairs

    private EndpointSubsetting() {}

    private static long[] hashes(List<String> names) {
        return names.stream().mapToLong(HASH::hashCharsToLong).toArray();
    }

    /** The places of the hosts in the order of their scores with one name; each pair is hashed once. */
    private static int[] ranked(long name, long[] hosts) {
        long[] scores = new long[hosts.length];
        int[] order = new int[hosts.length];
        for (int i = 0; i < hosts.length; i++) { // by insertion: a destination has few
            long score = HASH.hashLongLongToLong(name, hosts[i]);
            int at = i;
            for (; at > 0 && scores[at - 1] > score; at--) {
                scores[at] = scores[at - 1];
                order[at] = order[at - 1];
            }
            scores[at] = score;
            order[at] = i;
        }
        return order;
    }

    /**
     * How many endpoints a member prefers, where an endpoint takes {@code connections} from all and a member may hold {@code each}
     * there: as many as fit, one at least; all where no limit is known (0).
     */
    public static int size(int members, int endpoints, int connections, int each) {
        if (connections <= 0) {
            return endpoints;
        }
        return (int) Math.max(
                1, Math.min(endpoints, (long) connections * endpoints / Math.max(1, (long) members * each)));
    }

    /**
     * The endpoints that one member prefers of all that are listed, by destination; {@code connections} and {@code each} as {@link
     * #size} has them.
     */
    public static Set<String> preferred(
            String self, List<String> members, Map<Long, List<String>> listed, int connections, int each) {
        Set<String> own = new HashSet<>();
        listed.values().forEach(endpoints -> {
            int k = size(members.size(), endpoints.size(), connections, each);
            own.addAll(
                    k >= endpoints.size()
                            ? endpoints
                            : all(Way.BOUNDED, members, endpoints, k).getOrDefault(self, endpoints));
        });
        return own;
    }

    /** Each member's endpoints; {@code size} at most, and never fewer than one where there is one. */
    public static Map<String, List<String>> all(Way way, List<String> members, List<String> endpoints, int size) {
        List<String> names = members.stream().sorted().distinct().toList(),
                hosts = endpoints.stream().sorted().distinct().toList();
        int k = Math.min(size, hosts.size());
        return switch (way) {
            case SRE -> sre(names, hosts, k);
            case RENDEZVOUS -> rendezvous(names, hosts, k);
            case BOUNDED -> bounded(names, hosts, k);
        };
    }

    private static List<String> names(int[] of, int from, int to, List<String> hosts) {
        List<String> all = new ArrayList<>(to - from);
        for (int i = from; i < to; i++) {
            all.add(hosts.get(of[i]));
        }
        return all;
    }

    private static Map<String, List<String>> rendezvous(List<String> names, List<String> hosts, int k) {
        Map<String, List<String>> all = new LinkedHashMap<>();
        long[] scores = hashes(hosts);
        names.forEach(n -> all.put(n, names(ranked(HASH.hashCharsToLong(n), scores), 0, k, hosts)));
        return all;
    }

    private static Map<String, List<String>> sre(List<String> names, List<String> hosts, int k) {
        Map<String, List<String>> all = new LinkedHashMap<>();
        long[] scores = hashes(hosts);
        int subsets = k == 0 ? 1 : Math.max(1, hosts.size() / k);
        int[] shuffled = {};
        for (int i = 0; i < names.size(); i++) {
            int part = i % subsets;
            shuffled = part == 0 ? ranked(HASH.hashCharsToLong("round " + i / subsets), scores) : shuffled;
            all.put(names.get(i), names(shuffled, part * k, part * k + k, hosts));
        }
        return all;
    }

    private static Map<String, List<String>> bounded(List<String> names, List<String> hosts, int k) {
        Map<String, List<String>> all = new LinkedHashMap<>();
        long[] scores = hashes(hosts), members = hashes(names);
        int[] load = new int[hosts.size()];
        double even = hosts.isEmpty() ? 0 : (double) names.size() * k / hosts.size();
        int most = (int)
                Math.max(Math.ceil(even), Math.floor(even * SLACK)); // a few members must not round up to one more each
        for (int m : ranked(ORDER, members, names.size())) {
            int[] ranked = ranked(members[m], scores);
            boolean[] taken = new boolean[hosts.size()];
            List<String> own = new ArrayList<>(k);
            for (int i = 0; i < ranked.length && own.size() < k; i++) {
                if (load[ranked[i]] < most) {
                    take(ranked[i], load, taken, own, hosts);
                }
            }
            while (own.size()
                    < k) { // the last members may find too few below their part: then the least taken of the others
                int least = -1;
                for (int h : ranked) {
                    least = !taken[h] && (least < 0 || load[h] < load[least]) ? h : least;
                }
                take(least, load, taken, own, hosts);
            }
            all.put(names.get(m), own);
        }
        return all;
    }

    private static void take(int host, int[] load, boolean[] taken, List<String> own, List<String> hosts) {
        load[host]++;
        taken[host] = true;
        own.add(hosts.get(host));
    }

    /** The places of all members in the order of their own scores: by sorting, they may be many. */
    private static int[] ranked(long by, long[] members, int n) {
        return java.util.stream.IntStream.range(0, n)
                .boxed()
                .sorted(Comparator.comparingLong((Integer i) -> HASH.hashLongLongToLong(by, members[i]))
                        .thenComparing(i -> i))
                .mapToInt(i -> i)
                .toArray();
    }

    /** The most members at an endpoint over the mean, 1 where it is even. */
    public static double unevenness(Map<String, List<String>> all, List<String> endpoints) {
        Map<String, Integer> load = load(all);
        double mean = load.values().stream().mapToInt(n -> n).sum() / (double) Math.max(1, endpoints.size());
        return mean == 0 ? 1 : load.values().stream().mapToInt(n -> n).max().orElse(0) / mean;
    }

    /** How many members prefer each endpoint. */
    public static Map<String, Integer> load(Map<String, List<String>> all) {
        Map<String, Integer> load = new HashMap<>();
        all.values().forEach(own -> own.forEach(h -> load.merge(h, 1, Integer::sum)));
        return load;
    }

    /** The share of the connections of members that are in both which are new in {@code after}. */
    public static double moved(Map<String, List<String>> before, Map<String, List<String>> after) {
        int fresh = 0, of = 0;
        for (Map.Entry<String, List<String>> e : after.entrySet()) {
            List<String> had = before.get(e.getKey());
            if (had != null) {
                of += e.getValue().size();
                fresh += (int)
                        e.getValue().stream().filter(h -> !had.contains(h)).count();
            }
        }
        return of == 0 ? 0 : (double) fresh / of;
    }
}
