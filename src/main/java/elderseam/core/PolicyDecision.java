package elderseam.core;

/** An action that the policy has decided on, for {@link DecisionLoop} to have executed. */
sealed interface PolicyDecision {
    /**
     * Begin an attempt at an endpoint, to be given up at {@code answerBy} on {@link Clock#now}; {@code sharesCall}: in one
     * call with the attempt of this turn that begins last before it at that endpoint.
     */
    record BeginAttempt(String requestId, String endpoint, long answerBy, boolean sharesCall)
            implements PolicyDecision {}

    /** Stop waiting for an attempt, counted from 0. */
    record CancelAttempt(String requestId, int attempt) implements PolicyDecision {}

    /** Complete a request. */
    record Complete(String requestId, FinalOutcome outcome, OutcomeReason reason) implements PolicyDecision {}

    /** Close the idle connections to an endpoint. */
    record CloseIdleConnections(String endpoint) implements PolicyDecision {}

    /** Subscribe to changes of the endpoint list. */
    record WatchEndpoints() implements PolicyDecision {}
}
