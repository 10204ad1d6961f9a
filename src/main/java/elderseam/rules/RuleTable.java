package elderseam.rules;

import elderseam.rules.cel.EvaluationError;
import java.util.List;

/**
 * Rules in their order, of which the first that matches applies, or all that do, a later one over an earlier. All of
 * them see the message as it was when the table began. Confined to the thread that evaluates rules.
 */
final class RuleTable {
    /** Retry-After of a message that is rejected because a rule ended in an error. */
    private static final long ERROR_RETRY_AFTER_NS = 1_000_000_000L;

    private final String name;
    private final boolean firstMatchOnly;
    private final boolean rejectsOnError;
    private final List<Rule> rules;

    /**
     * @param firstMatchOnly whether no rule is evaluated after the first that matches
     * @param rejectsOnError whether a message is rejected when a rule ends in an error; otherwise that rule counts as
     *     one that does not match
     */
    RuleTable(String name, boolean firstMatchOnly, boolean rejectsOnError, List<Rule> rules) {
        this.name = name;
        this.firstMatchOnly = firstMatchOnly;
        this.rejectsOnError = rejectsOnError;
        this.rules = List.copyOf(rules);
    }

    List<Rule> rules() {
        return rules;
    }

    /** Applies the rules to the result and updates the input for the table after this one. */
    void decide(RuleInput input, RuleResult result, RuleErrorLog errorLog) {
        for (Rule rule : rules) {
            boolean matches = rule.matches(input);
            EvaluationError error = input.error();
            if (error == null && !matches) {
                trace(result, rule, " does not match");
                continue;
            }
            if (error == null) {
                error = rule.evaluate(input);
            }
            if (error != null) {
                onError(rule, error, result, errorLog, input.nowNs());
                if (rejectsOnError) {
                    break;
                }
                continue;
            }
            trace(result, rule, " matches");
            rule.apply(result);
            if (firstMatchOnly || result.isRejected()) {
                break;
            }
        }
        input.update(result);
    }

    private void onError(Rule rule, EvaluationError error, RuleResult result, RuleErrorLog errorLog, long nowNs) {
        rule.countError();
        String consequence = rejectsOnError ? ", refused" : ", as if it did not match";
        trace(result, rule, ": error: " + error.message() + consequence);
        errorLog.report(rule, error, nowNs);
        if (rejectsOnError) {
            result.retryAfterNs = ERROR_RETRY_AFTER_NS;
        }
    }

    private void trace(RuleResult result, Rule rule, String event) {
        if (result.trace != null) {
            result.trace.add("table " + name + ": rule " + rule.name + event);
        }
    }
}
