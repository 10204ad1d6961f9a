package elderseam.http;

import elderseam.core.Clock;
import elderseam.core.ConnectionReuse;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides when an idle connection may carry another request. It must have been quiet for a while, and for at least as
 * long after its last request as the endpoint usually takes to answer: if a stray response was taken for the answer, the
 * real one arrives before the next request is written. After unexpected input, the connections of that endpoint are not
 * reused for a while, and after such input from two endpoints, no connections. Confined to the I/O thread.
 */
final class EndpointReuseRules {
    /** Minimum time between the last input and the next request on a connection. */
    private static final long QUIET_NS = 50 * Clock.MILLISECOND_NS;

    /** Rejections come at once: after this time since a request was written, none is due any more. */
    private static final long MAX_REJECTION_DELAY_NS = 500 * Clock.MILLISECOND_NS;

    /** How long the connections of an endpoint are not reused after unexpected input from it. */
    private static final long DISTRUST_NS = 60_000 * Clock.MILLISECOND_NS;

    /** The weight of the latest answer in the mean answer time of an endpoint. */
    private static final double ANSWER_TIME_WEIGHT = 0.2;

    private static final int MAX_ENDPOINTS = 4_096;

    /** What is known of one endpoint. */
    private static final class EndpointHistory {
        long answerTimeNs; // exponentially weighted mean
        long distrustedUntil = Long.MIN_VALUE;
    }

    private final Clock clock;
    private final Map<EndpointAddress, EndpointHistory> endpoints = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointAddress, EndpointHistory> eldest) {
            return size() > MAX_ENDPOINTS;
        }
    };

    private long allDistrustedUntil = Long.MIN_VALUE;

    EndpointReuseRules(Clock clock) {
        this.clock = clock;
    }

    /** An endpoint has answered a request {@code answerTimeNs} after its last byte was written. */
    void answered(EndpointAddress endpoint, long answerTimeNs) {
        EndpointHistory history = history(endpoint);
        double change = (answerTimeNs - history.answerTimeNs) * ANSWER_TIME_WEIGHT;
        history.answerTimeNs += (long) change;
    }

    /** Unexpected input has arrived from an endpoint. If another one is distrusted already, so are all. */
    void unexpectedInput(EndpointAddress endpoint) {
        long now = clock.now();
        boolean several = endpoints.entrySet().stream()
                .anyMatch(other -> !other.getKey().equals(endpoint) && now < other.getValue().distrustedUntil);
        history(endpoint).distrustedUntil = now + DISTRUST_NS;
        if (several) {
            allDistrustedUntil = now + DISTRUST_NS;
        }
    }

    /** Whether connections of the endpoint may carry more than one request. */
    boolean mayReuse(EndpointAddress endpoint) {
        EndpointHistory history = endpoints.get(endpoint);
        long distrustedUntil = history == null ? Long.MIN_VALUE : history.distrustedUntil;
        return clock.now() >= Math.max(distrustedUntil, allDistrustedUntil);
    }

    /**
     * Returns the idle connection that is best for a request, null if none may carry it: the most recently used, so that
     * surplus ones expire, except that {@link ConnectionReuse#QUIET} leaves those with successes only to others, and {@link
     * ConnectionReuse#SETTLED} takes the one that has been idle longest.
     *
     * @param connections idle connections to one endpoint, the most recently used last
     */
    EndpointConnection best(Collection<EndpointConnection> connections, ConnectionReuse reuse) {
        EndpointConnection best = null;
        for (EndpointConnection connection : connections) {
            if (mayReuse(connection, reuse) && (best == null || isBetter(connection, best, reuse))) {
                best = connection;
            }
        }
        return best;
    }

    private static boolean isBetter(EndpointConnection later, EndpointConnection earlier, ConnectionReuse reuse) {
        return switch (reuse) {
            case SETTLED -> false;
            case QUIET -> earlier.hasOnlySuccesses() || !later.hasOnlySuccesses();
            default -> true;
        };
    }

    /** Whether an idle connection may carry another request. */
    private boolean mayReuse(EndpointConnection connection, ConnectionReuse reuse) {
        if (connection.answeredExchanges() == 0) {
            return true;
        }
        return switch (reuse) {
            case TRUSTED_PEER -> true;
            case QUIET -> isQuiet(connection);
            case QUIET_AFTER_SUCCESS -> connection.hasOnlySuccesses() && isQuiet(connection);
            case SETTLED -> connection.hasOnlySuccesses() && isQuiet(connection) && isSettled(connection);
            case NEW, SINGLE_USE -> false;
        };
    }

    private boolean isQuiet(EndpointConnection connection) {
        long now = clock.now();
        EndpointHistory history = history(connection.endpoint);
        boolean quiet = now - connection.stateSinceNs >= QUIET_NS;
        boolean answered = now - connection.lastWrittenNs() >= history.answerTimeNs;
        return quiet && answered && mayReuse(connection.endpoint);
    }

    private boolean isSettled(EndpointConnection connection) {
        return clock.now() - connection.lastWrittenNs() >= MAX_REJECTION_DELAY_NS;
    }

    private EndpointHistory history(EndpointAddress endpoint) {
        return endpoints.computeIfAbsent(endpoint, absent -> new EndpointHistory());
    }
}
