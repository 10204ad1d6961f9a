package elderseam.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Splits attempts that the policy wants in one call where they can't share one: those of different frontends, and those
 * with far less time than others, since a call is given up when the first of its messages must be answered. Stateless.
 */
final class CallSplitter {
    /** A message shares a call if it has at least this part of the longest time in it. */
    private static final double MIN_TIME_RATIO = 0.5;

    private CallSplitter() {}

    /** The calls, each with one attempt at least, in the order of the attempts. */
    static List<List<StartedAttempt>> split(List<StartedAttempt> attempts, long now) {
        if (attempts.size() < 2) {
            return attempts.isEmpty() ? List.of() : List.of(attempts);
        }
        Map<Byte, List<StartedAttempt>> byFrontend = new LinkedHashMap<>();
        for (StartedAttempt attempt : attempts) {
            byFrontend
                    .computeIfAbsent(attempt.request().message.frontend(), frontend -> new ArrayList<>())
                    .add(attempt);
        }
        List<List<StartedAttempt>> calls = new ArrayList<>();
        byFrontend.values().forEach(sameFrontend -> splitByTime(sameFrontend, now, calls));
        return calls;
    }

    private static void splitByTime(List<StartedAttempt> attempts, long now, List<List<StartedAttempt>> calls) {
        long longest = attempts.stream()
                .mapToLong(attempt -> attempt.answerBy() - now)
                .max()
                .orElseThrow();
        List<StartedAttempt> together = new ArrayList<>();
        for (StartedAttempt attempt : attempts) {
            if (attempt.answerBy() - now >= MIN_TIME_RATIO * longest) {
                together.add(attempt);
            } else {
                calls.add(List.of(attempt));
            }
        }
        calls.add(together);
    }
}
