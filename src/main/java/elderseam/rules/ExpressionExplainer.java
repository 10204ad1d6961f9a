package elderseam.rules;

import elderseam.rules.cel.Expression;
import elderseam.rules.cel.ExpressionFault;
import elderseam.rules.cel.Type;
import elderseam.settings.SettingsFault;
import java.util.Locale;

/** The text of {@code rules explain}. */
public final class ExpressionExplainer {
    private ExpressionExplainer() {}

    /**
     * Returns the checked tree of an expression: the type of each part, and the most that it may cost.
     *
     * @throws SettingsFault if the expression is faulty
     */
    public static String explain(String text, RuleLimits limits) throws SettingsFault {
        Expression.Compiled compiled =
                Expression.compile(text, RuleVariables.scope(limits), Type.Plain.DYN, limits.expressionBudget());
        Expression expression = compiled.expression();
        if (expression == null) {
            throw new SettingsFault(
                    compiled.faults().stream().map(ExpressionFault::describe).toList());
        }
        String header = String.format(Locale.ROOT, "%-56s %-24s %s%n", "part", "type", "most units");
        return header + expression.explain() + "gives " + expression.type() + ", at most " + expression.bound() + " of "
                + limits.expressionBudget() + " units";
    }
}
