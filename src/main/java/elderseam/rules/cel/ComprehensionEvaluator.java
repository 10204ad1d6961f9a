package elderseam.rules.cel;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The step of a comprehension over a list's items or a map's keys, made while its {@link Planner} plans the nodes around it. */
final class ComprehensionEvaluator implements BoolStep {
    /** Cost of an iteration by itself, and the least that a body costs. */
    private static final int ITERATION_COST = 2;

    private final Macro macro;
    private final ValueStep range;
    private final BoolStep filter;
    private final BoolStep condition;
    private final ValueStep transform;
    private final int slot;

    ComprehensionEvaluator(Planner planner, Ast.Comprehension comprehension) {
        macro = comprehension.macro();
        range = planner.planValue(comprehension.range());
        String variable = comprehension.variable();
        Integer hidden = planner.bindVariable(variable);
        slot = planner.slot(variable);
        filter = comprehension.filter() == null ? inputs -> true : planner.planBool(comprehension.filter());
        condition = macro == Macro.MAP ? inputs -> true : planner.planBool(comprehension.body());
        transform = macro == Macro.MAP ? planner.planValue(comprehension.body()) : inputs -> null;
        planner.unbindVariable(variable, hidden);
    }

    /** What the comprehension is over; null if that failed. */
    private Iterable<?> items(EvaluationInputs inputs) {
        Object value = range.evaluate(inputs);
        if (inputs.error != null) {
            return null;
        }
        if (value instanceof List<?> list) {
            return list;
        }
        if (value instanceof Map<?, ?> map) {
            return map.keySet();
        }
        inputs.fail(EvaluationError.NO_SUCH_OVERLOAD);
        return null;
    }

    /** The result of {@code all}, {@code exists} or {@code exists_one}. */
    @Override
    public boolean evaluate(EvaluationInputs inputs) {
        Iterable<?> items = items(inputs);
        if (items == null) {
            return false;
        }
        Object hidden = inputs.variables[slot];
        boolean result = macro == Macro.EXISTS_ONE ? holdsForOne(inputs, items) : holdsForAllOrAny(inputs, items);
        inputs.variables[slot] = hidden;
        return result;
    }

    /** {@code all} and {@code exists}: an item that decides the result absorbs the errors of others; else the first error stays. */
    private boolean holdsForAllOrAny(EvaluationInputs inputs, Iterable<?> items) {
        boolean deciding = macro == Macro.EXISTS;
        EvaluationError firstError = null;
        for (Object item : items) {
            inputs.variables[slot] = item;
            boolean holds = inputs.charge(ITERATION_COST) && condition.evaluate(inputs);
            if (inputs.isOverBudget()) {
                return false;
            }
            if (inputs.error != null) {
                firstError = firstError == null ? inputs.error : firstError;
                inputs.error = null;
            } else if (holds == deciding) {
                return deciding;
            }
        }
        if (firstError != null) {
            inputs.fail(firstError);
        }
        return !deciding;
    }

    private boolean holdsForOne(EvaluationInputs inputs, Iterable<?> items) {
        int count = 0;
        for (Object item : items) {
            inputs.variables[slot] = item;
            boolean holds = inputs.charge(ITERATION_COST) && condition.evaluate(inputs);
            if (inputs.isOverBudget() || inputs.error != null) {
                return false;
            }
            count += holds ? 1 : 0;
        }
        return count == 1;
    }

    /** The result of any macro: the list of {@code filter} and {@code map}, the bool of the others; null if it failed. */
    Object evaluateValue(EvaluationInputs inputs) {
        if (!macro.givesList()) {
            boolean result = evaluate(inputs);
            return inputs.error != null ? null : (Object) result;
        }
        Iterable<?> items = items(inputs);
        if (items == null) {
            return null;
        }
        Object hidden = inputs.variables[slot];
        List<Object> results = new ArrayList<>();
        for (Object item : items) {
            inputs.variables[slot] = item;
            boolean isTaken = inputs.charge(ITERATION_COST)
                    && filter.evaluate(inputs)
                    && (macro == Macro.MAP || condition.evaluate(inputs));
            if (inputs.error == null && isTaken) {
                results.add(macro == Macro.MAP ? transform.evaluate(inputs) : item);
            }
            if (inputs.error != null) {
                inputs.variables[slot] = hidden;
                return null;
            }
        }
        inputs.variables[slot] = hidden;
        return results;
    }
}
