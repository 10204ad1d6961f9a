package elderseam.rules;

import elderseam.rules.cel.EvaluationError;
import java.util.List;

/** Rules in their order: the first that matches counts, or all that do, a later one over an earlier. */
final class RuleTable {
    static final long REFUSED_NS = 1_000_000_000L; // with a rule in error, where errors refuse

    final String name;
    final boolean first, refuses;
    final List<Rule> rules;

    /** {@code refuses}: a message on which a rule ends in an error is refused; else it is as if that rule did not match. */
    RuleTable(String name, boolean first, boolean refuses, List<Rule> rules) {
        this.name = name;
        this.first = first;
        this.refuses = refuses;
        this.rules = rules;
    }

    /** The rules of one table see the message as it was when the table began. */
    void decide(RuleInput a, RuleResult r, Rulebook book) {
        for (Rule rule : rules) {
            boolean matches = rule.matches(a);
            EvaluationError e = a.error();
            if (e == null && !matches) {
                trace(r, rule, " does not match");
                continue;
            }
            if (e == null) {
                e = rule.evaluate(a, book);
            }
            if (e != null) {
                rule.errors++;
                trace(r, rule, ": error: " + e.message() + (refuses ? ", refused" : ", as if it did not match"));
                book.erred(rule, e, a.now());
                if (refuses) {
                    r.refuseNs = REFUSED_NS;
                    r.by = rule.name;
                    break;
                }
                continue;
            }
            rule.matched++;
            trace(r, rule, " matches");
            rule.apply(r);
            if (first || r.refuseNs >= 0) {
                break;
            }
        }
        a.cls = r.cls;
        a.tenant = r.tenant;
        a.destination = r.destination;
    }

    private void trace(RuleResult r, Rule rule, String words) {
        if (r.trace != null) {
            r.trace.add("table " + name + ": rule " + rule.name + words);
        }
    }
}
