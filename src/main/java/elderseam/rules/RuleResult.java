package elderseam.rules;

import java.util.ArrayList;
import java.util.List;

/** What the tables made of one message; what no rule sets stays as it was. Mutable, and reused for each message. */
final class RuleResult {
    /** A rate limit that the message falls under, and its key there. */
    record Charge(KeyedRateLimiter limiter, String key) {}

    /** The priority of a message to which no rule gives one. */
    static final int DEFAULT_PRIORITY = 5;

    /** {@link #deadlineNs} where no rule sets one. */
    static final long NO_DEADLINE = Long.MAX_VALUE;

    private static final long NOT_REJECTED = -1;

    int classIndex; // below 0 for none
    int tenantIndex; // below 0 for none
    int priority;
    long destination;
    long deadlineNs; // from now
    long retryAfterNs; // of a rejected message
    String key; // empty for none
    final List<Charge> charges = new ArrayList<>(2);

    /** Which rules matched, or why not, a line each; null unless it was asked for. */
    final List<String> trace;

    private RuleResult(List<String> trace) {
        this.trace = trace;
    }

    static RuleResult untraced() {
        return new RuleResult(null);
    }

    static RuleResult traced() {
        return new RuleResult(new ArrayList<>());
    }

    /** Forgets the last message. */
    void begin(int classIndex, int tenantIndex, long destination) {
        this.classIndex = classIndex;
        this.tenantIndex = tenantIndex;
        this.destination = destination;
        deadlineNs = NO_DEADLINE;
        retryAfterNs = NOT_REJECTED;
        priority = DEFAULT_PRIORITY;
        key = "";
        charges.clear();
    }

    boolean isRejected() {
        return retryAfterNs >= 0;
    }
}
