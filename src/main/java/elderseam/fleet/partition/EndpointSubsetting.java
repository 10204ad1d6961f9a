package elderseam.fleet.partition;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Assigns to each member the subset of a destination's endpoints that it prefers. Every member computes the complete
 * assignment from the names of members and endpoints, so members need not exchange assignments. If two members know
 * different names, their assignments differ in few places.
 *
 * <p>{@link Algorithm} lists three algorithms, which {@code lab subsets} compares; {@link #preferred} uses {@link
 * Algorithm#BOUNDED}. Stateless and thread-safe.
 */
public final class EndpointSubsetting {
    /** An algorithm that assigns endpoints to members. */
    public enum Algorithm {
        /**
         * The deterministic subsetting of Google's book on site reliability engineering (chapter 20): in each round,
         * the next members by rank receive consecutive subsets of the shuffled endpoint list. The load is even, but a
         * member that leaves shifts the rank of all members after it.
         */
        SRE("sre"),
        /**
         * Rendezvous hashing (Thaler and Ravishankar 1998): few assignments change with the fleet, but the random load
         * is uneven.
         */
        RENDEZVOUS("rendezvous"),
        /**
         * Rendezvous hashing with bounded loads, based on the load bounds that Mirrokni, Thorup and Zadimoghaddam
         * (2018) introduced for consistent hashing.
         */
        BOUNDED("bounded");

        private final String wireName;

        Algorithm(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the algorithm's name in the table of {@code lab subsets}. */
        public String wireName() {
            return wireName;
        }
    }

    private EndpointSubsetting() {}

    /**
     * Returns how many endpoints a member prefers: as many as the connection limit of the endpoints allows, but at
     * least one; all endpoints if the limit is unknown.
     *
     * @param members the number of members
     * @param endpoints the number of endpoints of the destination
     * @param connectionsPerEndpoint how many connections an endpoint accepts from all members; 0 or less if unknown
     * @param connectionsPerMember how many connections one member may open to one endpoint
     */
    public static int subsetSize(int members, int endpoints, int connectionsPerEndpoint, int connectionsPerMember) {
        if (connectionsPerEndpoint <= 0) {
            return endpoints;
        }
        long connectionLimit = (long) connectionsPerEndpoint * endpoints;
        long connectionsOfAllMembers = Math.max(1, (long) members * connectionsPerMember);
        return (int) Math.max(1, Math.min(endpoints, connectionLimit / connectionsOfAllMembers));
    }

    /**
     * Returns the endpoints that one member prefers, over all destinations.
     *
     * @param self the name of the member
     * @param members the names of all members, including {@code self}
     * @param endpointsByDestination the listed endpoints of each destination
     * @param connectionsPerEndpoint see {@link #subsetSize}
     * @param connectionsPerMember see {@link #subsetSize}
     */
    public static Set<String> preferred(
            String self,
            List<String> members,
            Map<Long, List<String>> endpointsByDestination,
            int connectionsPerEndpoint,
            int connectionsPerMember) {
        Set<String> preferred = new HashSet<>();
        for (List<String> endpoints : endpointsByDestination.values()) {
            int size = subsetSize(members.size(), endpoints.size(), connectionsPerEndpoint, connectionsPerMember);
            boolean prefersAll = size >= endpoints.size();
            preferred.addAll(
                    prefersAll
                            ? endpoints
                            : assign(Algorithm.BOUNDED, members, endpoints, size)
                                    .getOrDefault(self, endpoints));
        }
        return preferred;
    }

    /** Returns the endpoints of each member: {@code subsetSize} of them, or all if there are fewer. */
    public static Map<String, List<String>> assign(
            Algorithm algorithm, List<String> members, List<String> endpoints, int subsetSize) {
        List<String> sortedMembers = members.stream().sorted().distinct().toList();
        List<String> sortedEndpoints = endpoints.stream().sorted().distinct().toList();
        int size = Math.min(subsetSize, sortedEndpoints.size());
        return switch (algorithm) {
            case SRE -> assignShuffledRounds(sortedMembers, sortedEndpoints, size);
            case RENDEZVOUS -> assignRendezvous(sortedMembers, sortedEndpoints, size);
            case BOUNDED -> new BoundedLoadAssignment(sortedMembers, sortedEndpoints, size).assign();
        };
    }

    private static Map<String, List<String>> assignRendezvous(List<String> members, List<String> endpoints, int size) {
        Map<String, List<String>> assignment = new LinkedHashMap<>();
        long[] endpointHashes = HashRanking.hashes(endpoints);
        for (String member : members) {
            int[] ranked = HashRanking.rankSmallList(HashRanking.hash(member), endpointHashes);
            assignment.put(member, select(endpoints, ranked, 0, size));
        }
        return assignment;
    }

    private static Map<String, List<String>> assignShuffledRounds(
            List<String> members, List<String> endpoints, int size) {
        Map<String, List<String>> assignment = new LinkedHashMap<>();
        long[] endpointHashes = HashRanking.hashes(endpoints);
        int subsetsPerRound = size == 0 ? 1 : Math.max(1, endpoints.size() / size);
        int[] shuffled = {};
        for (int rank = 0; rank < members.size(); rank++) {
            int subset = rank % subsetsPerRound;
            if (subset == 0) {
                long roundKey = HashRanking.hash("round " + rank / subsetsPerRound);
                shuffled = HashRanking.rankSmallList(roundKey, endpointHashes);
            }
            assignment.put(members.get(rank), select(endpoints, shuffled, subset * size, size));
        }
        return assignment;
    }

    private static List<String> select(List<String> endpoints, int[] indexes, int from, int count) {
        List<String> selected = new ArrayList<>(count);
        for (int i = from; i < from + count; i++) {
            selected.add(endpoints.get(indexes[i]));
        }
        return selected;
    }
}
