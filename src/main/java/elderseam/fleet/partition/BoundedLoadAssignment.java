package elderseam.fleet.partition;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Rendezvous hashing with bounded loads. In the order of their hashes the members take their best endpoints of those that
 * have not reached their load limit. For one assignment; not thread-safe.
 */
final class BoundedLoadAssignment {
    /** How far the load limit is above the mean: less is more even, and moves more connections when the fleet changes. */
    private static final double LOAD_LIMIT_FACTOR = 1.05;

    /** The key by which the members themselves are ordered, apart from the scores of pairs. */
    private static final long MEMBER_ORDER_KEY = 1;

    private final List<String> members;
    private final List<String> endpoints;
    private final int subsetSize;
    private final long[] endpointHashes;
    private final int[] loads;
    private final int loadLimit;

    BoundedLoadAssignment(List<String> members, List<String> endpoints, int subsetSize) {
        this.members = members;
        this.endpoints = endpoints;
        this.subsetSize = subsetSize;
        this.endpointHashes = HashRanking.hashes(endpoints);
        this.loads = new int[endpoints.size()];
        this.loadLimit = loadLimit(members.size(), endpoints.size(), subsetSize);
    }

    /** The limit is not below the rounded-up mean, so that a small fleet does not round it up by one more each. */
    private static int loadLimit(int members, int endpoints, int subsetSize) {
        double meanLoad = endpoints == 0 ? 0 : (double) members * subsetSize / endpoints;
        return (int) Math.max(Math.ceil(meanLoad), Math.floor(meanLoad * LOAD_LIMIT_FACTOR));
    }

    /** Returns the endpoints of each member. */
    Map<String, List<String>> assign() {
        Map<String, List<String>> assignment = new LinkedHashMap<>();
        long[] memberHashes = HashRanking.hashes(members);
        for (int member : HashRanking.rankMany(MEMBER_ORDER_KEY, memberHashes)) {
            assignment.put(members.get(member), take(HashRanking.rankFew(memberHashes[member], endpointHashes)));
        }
        return assignment;
    }

    /** Takes the best endpoints below the limit; the last members may find too few and take the least loaded others. */
    private List<String> take(int[] ranked) {
        List<String> taken = new ArrayList<>(subsetSize);
        boolean[] isTaken = new boolean[endpoints.size()];
        for (int i = 0; i < ranked.length && taken.size() < subsetSize; i++) {
            if (loads[ranked[i]] < loadLimit) {
                take(ranked[i], isTaken, taken);
            }
        }
        while (taken.size() < subsetSize) {
            take(leastLoaded(ranked, isTaken), isTaken, taken);
        }
        return taken;
    }

    private void take(int endpoint, boolean[] isTaken, List<String> taken) {
        loads[endpoint]++;
        isTaken[endpoint] = true;
        taken.add(endpoints.get(endpoint));
    }

    /** Returns the least loaded endpoint that is not taken; one exists, because a subset is never larger than the list. */
    private int leastLoaded(int[] ranked, boolean[] isTaken) {
        int least = -1;
        for (int endpoint : ranked) {
            if (!isTaken[endpoint] && (least < 0 || loads[endpoint] < loads[least])) {
                least = endpoint;
            }
        }
        return least;
    }
}
