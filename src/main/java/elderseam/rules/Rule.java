package elderseam.rules;

import elderseam.rules.cel.EvaluationError;
import elderseam.rules.cel.Program;
import java.util.List;

/** A condition, and what becomes of the messages that meet it. Confined to the thread that evaluates rules. */
final class Rule {
    final String name;
    private final Program condition; // null for always
    private final RuleAction[] actions;
    private long matchCount;
    private long errorCount;

    /**
     * @param condition null if the rule matches every message
     * @param actions in the order in which they are evaluated
     */
    Rule(String name, Program condition, List<RuleAction> actions) {
        this.name = name;
        this.condition = condition;
        this.actions = actions.toArray(new RuleAction[0]);
    }

    /**
     * Evaluates the condition; {@code input.error()} is then its error, and the result meaningless. A rule without a
     * condition evaluates nothing, and leaves the error of the evaluation before it.
     */
    boolean matches(RuleInput input) {
        return condition == null || condition.boolValue(input);
    }

    /** Evaluates every action; returns what went wrong, or null. */
    EvaluationError evaluate(RuleInput input) {
        for (RuleAction action : actions) {
            EvaluationError error = action.evaluate(input);
            if (error != null) {
                return error;
            }
        }
        return null;
    }

    /** Sets what {@link #evaluate} came to, and counts a match. */
    void apply(RuleResult result) {
        matchCount++;
        for (RuleAction action : actions) {
            action.apply(result);
        }
    }

    void countError() {
        errorCount++;
    }

    long matchCount() {
        return matchCount;
    }

    long errorCount() {
        return errorCount;
    }
}
