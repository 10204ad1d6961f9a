package elderseam.rules;

/** Observes rules that end in an error; called at a bounded rate, on the thread that evaluates rules. */
@FunctionalInterface
public interface RuleErrorListener {
    /**
     * A rule ended in an error.
     *
     * @param rule the rule's name
     * @param error what went wrong
     * @param errorCount how many evaluations of the rule have ended in an error so far
     */
    void onError(String rule, String error, long errorCount);
}
