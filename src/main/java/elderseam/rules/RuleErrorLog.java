package elderseam.rules;

import elderseam.rules.cel.EvaluationError;
import java.util.IdentityHashMap;

/**
 * Logs rules that end in an error, at a bounded rate: each rule at most once in ten seconds, and {@value
 * #MAX_LINES_PER_SECOND} lines a second in total. Confined to the thread that evaluates rules.
 */
final class RuleErrorLog {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long INTERVAL_PER_RULE_NS = 10 * NANOS_PER_SECOND;
    private static final int MAX_LINES_PER_SECOND = 5;

    private final IdentityHashMap<Rule, Long> lastLoggedNs = new IdentityHashMap<>();
    private RuleErrorListener listener = (rule, error, errorCount) -> {};
    private long currentSecondNs; // when the current second began
    private long linesThisSecond; // those above the limit included

    /** Reports to this listener from now on; nothing is reported before. */
    void reportTo(RuleErrorListener listener) {
        this.listener = listener;
    }

    /** Reports an error, unless the rate is exceeded. */
    void report(Rule rule, EvaluationError error, long nowNs) {
        Long last = lastLoggedNs.get(rule);
        if (last != null && nowNs - last < INTERVAL_PER_RULE_NS) {
            return;
        }
        if (nowNs - currentSecondNs > NANOS_PER_SECOND) {
            linesThisSecond = 0;
        }
        if (linesThisSecond == 0) {
            currentSecondNs = nowNs;
        }
        linesThisSecond++;
        if (linesThisSecond <= MAX_LINES_PER_SECOND) {
            lastLoggedNs.put(rule, nowNs);
            listener.onError(rule.name, error.message(), rule.errorCount());
        }
    }
}
