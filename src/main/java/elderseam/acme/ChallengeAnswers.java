package elderseam.acme;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Answers to the authority's http-01 challenges, by token: those of this member's order, and those that the ordering member
 * of the fleet has published. Any thread.
 */
final class ChallengeAnswers {
    private static final String PATH_PREFIX = "^/\\.well-known/acme-challenge/";

    private final Map<String, String> own = new ConcurrentHashMap<>();
    private volatile Map<String, String> published = Map.of();

    /** Adds an answer of this member's order. */
    void add(String token, String answer) {
        own.put(token, answer);
    }

    /** This member's order has ended. */
    void clearOwn() {
        own.clear();
    }

    /** The answers of this member's order so far. */
    Map<String, String> own() {
        return Map.copyOf(own);
    }

    /** Replaces the answers of the ordering member. */
    void publish(Map<String, String> answers) {
        published = answers;
    }

    /** The answer to a request for this path, {@code /.well-known/acme-challenge/TOKEN}. */
    Optional<String> forPath(String path) {
        String token = path.replaceFirst(PATH_PREFIX, "");
        return Optional.ofNullable(own.getOrDefault(token, published.get(token)));
    }
}
