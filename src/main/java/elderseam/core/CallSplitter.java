package elderseam.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Splits attempts that the policy wants in one call where they can't share one: those of different frontends, which have
 * protocols of their own. Stateless.
 */
final class CallSplitter {
    private CallSplitter() {}

    /** The calls, each with one attempt at least, in the order of the attempts. */
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
