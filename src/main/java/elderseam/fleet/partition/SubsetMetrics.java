package elderseam.fleet.partition;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Measures assignments of endpoints to members, for {@code lab subsets} and tests. Stateless and thread-safe. */
public final class SubsetMetrics {
    private SubsetMetrics() {}

    /** Returns the most members at an endpoint over the mean: 1 if the load is even. */
    public static double maxOverMeanLoad(Map<String, List<String>> assignment, List<String> endpoints) {
        int total = 0;
        int max = 0;
        for (int load : loadByEndpoint(assignment).values()) {
            total += load;
            max = Math.max(max, load);
        }
        double mean = total / (double) Math.max(1, endpoints.size());
        return mean == 0 ? 1 : max / mean;
    }

    /** Returns how many members prefer each endpoint; an endpoint that none prefers is missing. */
    private static Map<String, Integer> loadByEndpoint(Map<String, List<String>> assignment) {
        Map<String, Integer> loads = new HashMap<>();
        for (List<String> endpoints : assignment.values()) {
            endpoints.forEach(endpoint -> loads.merge(endpoint, 1, Integer::sum));
        }
        return loads;
    }

    /** Returns which fraction of the endpoints of the members that are in both assignments is new in {@code after}. */
    public static double movedFraction(Map<String, List<String>> before, Map<String, List<String>> after) {
        int moved = 0;
        int total = 0;
        for (Map.Entry<String, List<String>> entry : after.entrySet()) {
            List<String> endpointsBefore = before.get(entry.getKey());
            if (endpointsBefore != null) {
                Set<String> known = new HashSet<>(endpointsBefore);
                total += entry.getValue().size();
                moved += (int) entry.getValue().stream()
                        .filter(endpoint -> !known.contains(endpoint))
                        .count();
            }
        }
        return total == 0 ? 0 : (double) moved / total;
    }
}
