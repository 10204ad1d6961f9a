package elderseam.fleet.partition;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Rendezvous hashing with bounded loads. The members, ordered by hash, in turn select their best-ranked endpoints among
 * those that have not reached the load limit. An instance computes one assignment; not thread-safe.
 */
final class BoundedLoadAssignment {
    /**
     * The load limit divided by the mean load. A lower factor gives a more even load, but moves more connections when
     * the fleet changes.
     */
    private static final double LOAD_LIMIT_FACTOR = 1.05;

    /** The hash key that determines the order of the members, independently of the scores of member-endpoint pairs. */
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

    /**
     * Returns the load limit: the mean times the factor, rounded down, but at least the rounded-up mean. Rounding up
     * the product instead would allow one more member per endpoint in a small fleet.
     */
    private static int loadLimit(int members, int endpoints, int subsetSize) {
        double meanLoad = endpoints == 0 ? 0 : (double) members * subsetSize / endpoints;
        return (int) Math.max(Math.ceil(meanLoad), Math.floor(meanLoad * LOAD_LIMIT_FACTOR));
    }

    /** Returns the assigned endpoints by member. */
    Map<String, List<String>> assign() {
        Map<String, List<String>> assignment = new LinkedHashMap<>();
        long[] memberHashes = HashRanking.hashes(members);
        for (int member : HashRanking.rankLargeList(MEMBER_ORDER_KEY, memberHashes)) {
            assignment.put(
                    members.get(member), selectSubset(HashRanking.rankSmallList(memberHashes[member], endpointHashes)));
        }
        return assignment;
    }

    /**
     * Selects the best-ranked endpoints below the load limit. The last members may find too few of these and then
     * select the least loaded of the other endpoints.
     */
    private List<String> selectSubset(int[] ranked) {
        List<String> selected = new ArrayList<>(subsetSize);
        boolean[] isSelected = new boolean[endpoints.size()];
        for (int i = 0; i < ranked.length && selected.size() < subsetSize; i++) {
            if (loads[ranked[i]] < loadLimit) {
                select(ranked[i], isSelected, selected);
            }
        }
        while (selected.size() < subsetSize) {
            select(leastLoaded(ranked, isSelected), isSelected, selected);
        }
        return selected;
    }

    private void select(int endpoint, boolean[] isSelected, List<String> selected) {
        loads[endpoint]++;
        isSelected[endpoint] = true;
        selected.add(endpoints.get(endpoint));
    }

    /**
     * Returns the least loaded endpoint that is not selected yet. One exists, because a subset is never larger than the
     * list.
     */
    private int leastLoaded(int[] ranked, boolean[] isSelected) {
        int leastLoaded = -1;
        for (int endpoint : ranked) {
            if (!isSelected[endpoint] && (leastLoaded < 0 || loads[endpoint] < loads[leastLoaded])) {
                leastLoaded = endpoint;
            }
        }
        return leastLoaded;
    }
}
