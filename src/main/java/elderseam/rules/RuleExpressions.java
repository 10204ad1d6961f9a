package elderseam.rules;

import elderseam.rules.cel.Expression;
import elderseam.rules.cel.ExpressionFault;
import elderseam.rules.cel.Program;
import elderseam.rules.cel.Scope;
import elderseam.rules.cel.Type;
import elderseam.settings.SectionFile.Section;
import elderseam.settings.SectionFile.Value;
import java.util.Optional;

/** Compiles the expressions of rules files, and adds up the most that those of rules may cost. Not thread-safe. */
final class RuleExpressions {
    /** More than enough for the built-in expressions. */
    private static final long BUILT_IN_BUDGET = 1_000;

    private final Scope scope;
    private final long budget;
    private final RuleFaults faults;
    private long maxRuleCost;

    RuleExpressions(RuleLimits limits, RuleFaults faults) {
        this.scope = RuleVariables.scope(limits);
        this.budget = limits.expressionBudget();
        this.faults = faults;
    }

    /** The scope against which all expressions are compiled. */
    Scope scope() {
        return scope;
    }

    /** The most units that all expressions in {@code [rule]} sections compiled so far may cost for one request. */
    long maxRuleCost() {
        return maxRuleCost;
    }

    /** The expression of a key's value; empty if the section has no such key, or the value is faulty. */
    Optional<Expression> expression(Section section, String key, Type expectedType) {
        Value value = section.value(key);
        if (value == null) {
            return Optional.empty();
        }
        Expression.Compiled compiled = Expression.compile(value.text(), scope, expectedType, budget);
        for (ExpressionFault fault : compiled.faults()) {
            faults.add(format(section, key, value, fault));
        }
        Optional<Expression> expression = Optional.ofNullable(compiled.expression());
        if (section.kind().equals("rule")) {
            maxRuleCost += expression.map(Expression::bound).orElse(0L);
        }
        return expression;
    }

    /** A fault with its place in the file, and with the faulty line as far as the expression knows it. */
    private static String format(Section section, String key, Value value, ExpressionFault fault) {
        int line = value.line() + fault.line() - 1;
        int column = fault.line() == 1 ? value.column() + fault.column() - 1 : fault.column();
        String[] shown = fault.describe().split("\n", 2);
        String excerpt = shown.length > 1 ? "\n" + shown[1] : "";
        return section.file() + ":" + line + ":" + column + ": " + section.kind() + "." + section.name() + "." + key
                + ": " + fault.message() + excerpt;
    }

    /** The program of a key's value; empty if the section has no such key, or the value is faulty. */
    Optional<Program> program(Section section, String key, Type expectedType) {
        return expression(section, key, expectedType).map(Expression::program);
    }

    /** The program of an expression that is part of this code. */
    Program builtIn(String text, Type type) {
        return Expression.compile(text, scope, type, BUILT_IN_BUDGET)
                .expression()
                .program();
    }
}
