package elderseam.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Splits attempts that the policy has grouped into one call into one call per frontend, because each frontend has its
 * own protocol. Stateless.
 */
final class CallSplitter {
    private CallSplitter() {}

    /** Returns the calls, each with at least one attempt, in the order of their first attempts. */
    static List<List<StartedAttempt>> split(List<StartedAttempt> attempts) {
        if (attempts.size() < 2) {
            return attempts.isEmpty() ? List.of() : List.of(attempts);
        }
        Map<Byte, List<StartedAttempt>> byFrontend = new LinkedHashMap<>();
        for (StartedAttempt attempt : attempts) {
            byFrontend
                    .computeIfAbsent(attempt.request().message.frontend(), frontend -> new ArrayList<>())
                    .add(attempt);
        }
        return List.copyOf(byFrontend.values());
    }
}
