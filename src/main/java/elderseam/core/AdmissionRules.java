package elderseam.core;

import java.util.List;
import java.util.Optional;

/**
 * Evaluates the operator's rules for a message before the message is accepted; null where no rules are configured.
 * Confined to the event-loop thread.
 */
public interface AdmissionRules {
    /** The result of evaluating the rules for a message. */
    sealed interface Decision {
        /**
         * Submits the message according to this decision.
         *
         * @return as {@link RequestDispatcher#submit(ActiveRequest.Message, List)}
         */
        Optional<FinalOutcome> submitTo(RequestDispatcher dispatcher);
    }

    /**
     * The message may be accepted.
     *
     * @param message the message to accept, which the rules may have changed
     * @param alternateKeys further deduplication keys under which an earlier duplicate may have been accepted
     */
    record Admitted(ActiveRequest.Message message, List<String> alternateKeys) implements Decision {
        @Override
        public Optional<FinalOutcome> submitTo(RequestDispatcher dispatcher) {
            return dispatcher.submit(message, alternateKeys);
        }
    }

    /** The message must not be accepted; its final outcome is {@code outcome}. */
    record Rejected(FinalOutcome outcome) implements Decision {
        @Override
        public Optional<FinalOutcome> submitTo(RequestDispatcher dispatcher) {
            return Optional.of(outcome);
        }
    }

    /**
     * Neither the message nor a rule specifies the class or the destination. Only a frontend whose messages always
     * specify both may submit the message nevertheless; it is submitted unchanged.
     */
    record Invalid(ActiveRequest.Message message, String reason) implements Decision {
        @Override
        public Optional<FinalOutcome> submitTo(RequestDispatcher dispatcher) {
            return dispatcher.submit(message);
        }
    }

    /** Evaluates the rules for a message, whose class or destination is negative if the message does not specify it. */
    Decision evaluate(ActiveRequest.Message message, RequestAttributes attributes);
}
