package elderseam.fleet.partition;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Metrics of assignments of endpoints to members, for {@code lab subsets} and tests. Stateless and thread-safe. */
public final class SubsetMetrics {
    private SubsetMetrics() {}

    /**
     * Returns the highest number of members that prefer the same endpoint, divided by the mean; 1 if the load is even.
     */
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

    /** Returns how many members prefer each endpoint; endpoints that no member prefers are missing. */
    private static Map<String, Integer> loadByEndpoint(Map<String, List<String>> assignment) {
        Map<String, Integer> loads = new HashMap<>();
        for (List<String> endpoints : assignment.values()) {
            endpoints.forEach(endpoint -> loads.merge(endpoint, 1, Integer::sum));
        }
        return loads;
    }

    /**
     * Returns which fraction of the assigned endpoints in {@code after} was not assigned to the same member in {@code
     * before}, counting only members that are in both assignments.
     */
    public static double movedFraction(Map<String, List<String>> before, Map<String, List<String>> after) {
        int moved = 0;
        int total = 0;
        for (Map.Entry<String, List<String>> entry : after.entrySet()) {
            List<String> endpointsBefore = before.get(entry.getKey());
            if (endpointsBefore != null) {
                Set<String> previousEndpoints = new HashSet<>(endpointsBefore);
                total += entry.getValue().size();
                moved += (int) entry.getValue().stream()
                        .filter(endpoint -> !previousEndpoints.contains(endpoint))
                        .count();
            }
        }
        return total == 0 ? 0 : (double) moved / total;
    }
}
