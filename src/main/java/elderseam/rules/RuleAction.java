package elderseam.rules;

import elderseam.rules.cel.EvaluationError;

/**
 * One result of a rule, such as the class that it gives a message. A rule evaluates all its actions before it applies
 * any of them, so that an error leaves the message as it was. An action keeps its value from the one step to the other,
 * without allocating; confined to the thread that evaluates rules.
 */
interface RuleAction {
    /** Evaluates and keeps the value; returns what went wrong, or null. */
    EvaluationError evaluate(RuleInput input);

    /** Sets the value that was evaluated last. */
    void apply(RuleResult result);
}
