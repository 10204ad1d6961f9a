package elderseam.core;

/** An action requested by the policy, which {@link DecisionExecutor} executes. */
sealed interface PolicyDecision {
    /**
     * Begin an attempt at an endpoint.
     *
     * @param answerBy when the attempt times out, on {@link Clock#now}
     * @param sharesCall whether the attempt shares a call with the preceding attempt at that endpoint in this turn
     */
    record BeginAttempt(String requestId, String endpoint, long answerBy, boolean sharesCall)
            implements PolicyDecision {}

    /** Cancel an attempt; {@code attempt} counts from 0. */
    record CancelAttempt(String requestId, int attempt) implements PolicyDecision {}

    /** Complete a request. */
    record Complete(String requestId, FinalOutcome outcome, OutcomeReason reason) implements PolicyDecision {}

    /** Close the idle connections to an endpoint. */
    record CloseIdleConnections(String endpoint) implements PolicyDecision {}

    /** Subscribe to changes of the endpoint list. */
    record WatchEndpoints() implements PolicyDecision {}
}
