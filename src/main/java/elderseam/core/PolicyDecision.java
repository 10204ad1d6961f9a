package elderseam.core;

/** What the facade picks next. */
sealed interface PolicyDecision {
    /** Start an attempt, to be given up at {@code answerBy}. */
    record Send(String id, String host, long answerBy) implements PolicyDecision {}

    /** Stop waiting for an attempt. */
    record Abandon(String id, int attempt) implements PolicyDecision {}

    /** The final answer. */
    record End(String id, FinalOutcome answer) implements PolicyDecision {}

    /** Close the idle connections to a host. */
    record CloseIdle(String host) implements PolicyDecision {}

    /** Ask for news of the list of hosts. */
    record Watch() implements PolicyDecision {}
}
