package elderseam.rules.cel;

import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The reference implementation: evaluates a tree by a walk over it, and charges each node as it goes. Errors are values
 * ({@link EvaluationError}). {@code &&}, {@code ||}, {@code all} and {@code exists} absorb them where another operand, or item, decides
 * the result (CEL specification, "Logical Operators" and "Macros").
 *
 * <p>For one evaluation; not thread-safe.
 */
final class Evaluator {
    private final Function<String, Object> names;
    private final Map<Ast, Pattern> patterns;
    private final CostCounter counter;
    private final VariableBindings<Object> variables = new VariableBindings<>();

    /**
     * Made for one evaluation.
     *
     * @param names gives the value of a name, or null
     * @param patterns of calls of {@link Functions#MATCHES}, by the identity of nodes
     */
    Evaluator(Function<String, Object> names, Map<Ast, Pattern> patterns, CostCounter counter) {
        this.names = names;
        this.patterns = patterns;
        this.counter = counter;
    }

    /** The value of a node, or an error; above the budget always an error. */
    Object evaluate(Ast node) {
        if (counter.isOverBudget()) {
            return EvaluationError.BUDGET_EXCEEDED;
        }
        Object value = evaluateByKind(node);
        return counter.isOverBudget() ? EvaluationError.BUDGET_EXCEEDED : value;
    }

    private Object evaluateByKind(Ast node) {
        if (node instanceof Ast.Call call) {
            return call(call);
        }
        counter.charge(1);
        if (node instanceof Ast.Comprehension comprehension) {
            return comprehension(comprehension);
        }
        if (node instanceof Ast.Literal literal) {
            return literal.value();
        }
        if (node instanceof Ast.Identifier identifier) {
            return identifier(identifier.name());
        }
        if (node instanceof Ast.PresenceTest test) {
            Object value = names.apply(test.field().name());
            return value instanceof EvaluationError ? value : (Object) (value != null);
        }
        if (node instanceof Ast.Select select) {
            return select(select);
        }
        return node instanceof Ast.CreateList list ? list(list) : map((Ast.CreateMap) node);
    }

    private Object identifier(String name) {
        Object variable = variables.get(name);
        Object value = variable != null ? variable : names.apply(name);
        return value == null ? EvaluationError.NO_VALUE : value;
    }

    private Object select(Ast.Select select) {
        Object operand = evaluate(select.operand());
        counter.charge(ValueSize.text(select.field().length()).scanCost());
        if (operand instanceof EvaluationError) {
            return operand;
        }
        if (!(operand instanceof Map<?, ?> map)) {
            return EvaluationError.NO_SUCH_OVERLOAD;
        }
        Object value = map.get(select.field());
        if (select.testOnly()) {
            return value != null;
        }
        return value == null ? EvaluationError.NO_SUCH_KEY : value;
    }

    private Object list(Ast.CreateList list) {
        List<Object> values = new ArrayList<>();
        for (Ast item : list.items()) {
            Object value = evaluate(item);
            if (value instanceof EvaluationError) {
                return value;
            }
            values.add(value);
        }
        return values;
    }

    private Object map(Ast.CreateMap map) {
        Map<Object, Object> entries = new LinkedHashMap<>();
        for (int i = 0; i < map.keys().size(); i++) {
            Object key = evaluate(map.keys().get(i));
            Object value = evaluate(map.values().get(i));
            if (key instanceof EvaluationError) {
                return key;
            }
            if (value instanceof EvaluationError) {
                return value;
            }
            counter.charge(CostModel.sizeOf(key).scanCost());
            if (!CollectionFunctions.isKey(key)) {
                return EvaluationError.NO_SUCH_OVERLOAD;
            }
            if (CollectionFunctions.lookup(entries, key) != null) {
                return EvaluationError.DUPLICATE_KEY;
            }
            entries.put(key, value);
        }
        return entries;
    }

    // ---------------------------------------------------------------- calls

    private Object call(Ast.Call call) {
        return switch (call.function()) {
            case Operators.LOGICAL_AND -> logical(call, false);
            case Operators.LOGICAL_OR -> logical(call, true);
            case Operators.CONDITIONAL -> conditional(call);
            default -> strict(call);
        };
    }

    /** {@code &&}, or {@code ||}; {@code deciding}: the operand's value that decides the result. */
    private Object logical(Ast.Call call, boolean deciding) {
        counter.charge(1);
        Object left = evaluate(call.argument(0));
        if (left instanceof Boolean value && value == deciding) {
            return deciding;
        }
        Object right = evaluate(call.argument(1));
        if (right instanceof Boolean value && value == deciding) {
            return deciding;
        }
        return left instanceof Boolean ? boolOrError(right) : boolOrError(left);
    }

    private static Object boolOrError(Object value) {
        return value instanceof Boolean || value instanceof EvaluationError ? value : EvaluationError.NO_SUCH_OVERLOAD;
    }

    private Object conditional(Ast.Call call) {
        counter.charge(1);
        Object condition = evaluate(call.argument(0));
        return condition instanceof Boolean isTrue ? evaluate(call.argument(isTrue ? 1 : 2)) : boolOrError(condition);
    }

    /** A call that evaluates all its arguments and ends in the first error of them. */
    private Object strict(Ast.Call call) {
        Object[] arguments = new Object[call.arguments().size()];
        ValueSize[] sizes = new ValueSize[arguments.length];
        for (int i = 0; i < arguments.length; i++) {
            arguments[i] = evaluate(call.argument(i));
            if (arguments[i] instanceof EvaluationError) {
                return arguments[i];
            }
            sizes[i] = CostModel.sizeOf(arguments[i]);
        }
        String function = call.function();
        counter.charge(Operators.chargesItemByItem(function) ? 1 : CostModel.costOf(function, sizes));
        if (counter.isOverBudget()) {
            return EvaluationError.BUDGET_EXCEEDED;
        }
        if (function.equals(Functions.MATCHES)) {
            return arguments[0] instanceof String text
                    ? (Object) patterns.get(call).matcher(text).find()
                    : EvaluationError.NO_SUCH_OVERLOAD;
        }
        return Functions.call(function, arguments, counter);
    }

    // ---------------------------------------------------------------- comprehensions

    private Object comprehension(Ast.Comprehension comprehension) {
        Object range = evaluate(comprehension.range());
        if (range instanceof EvaluationError) {
            return range;
        }
        Iterable<?> items;
        if (range instanceof List<?> list) {
            items = list;
        } else if (range instanceof Map<?, ?> map) {
            items = map.keySet();
        } else {
            return EvaluationError.NO_SUCH_OVERLOAD;
        }
        Object hidden = variables.get(comprehension.variable());
        Object value = switch (comprehension.macro()) {
            case ALL -> allOrAny(comprehension, items, false);
            case EXISTS -> allOrAny(comprehension, items, true);
            case EXISTS_ONE -> one(comprehension, items);
            case FILTER -> filter(comprehension, items);
            case MAP -> map(comprehension, items);
        };
        variables.unbind(comprehension.variable(), hidden);
        return value;
    }

    private void beginIteration(Ast.Comprehension comprehension, Object item) {
        counter.charge(1);
        variables.bind(comprehension.variable(), item);
    }

    /** The bool that the body gives for an item, or an error. */
    private Object test(Ast.Comprehension comprehension, Object item) {
        beginIteration(comprehension, item);
        return boolOrError(evaluate(comprehension.body()));
    }

    /** {@code all}, or {@code exists}; {@code deciding}: the value of an item that decides the result. */
    private Object allOrAny(Ast.Comprehension comprehension, Iterable<?> items, boolean deciding) {
        Object firstError = null;
        for (Object item : items) {
            Object value = test(comprehension, item);
            if (counter.isOverBudget()) {
                return EvaluationError.BUDGET_EXCEEDED;
            }
            if (value.equals(deciding)) {
                return deciding;
            }
            if (value instanceof EvaluationError && firstError == null) {
                firstError = value;
            }
        }
        return firstError == null ? (Object) !deciding : firstError;
    }

    private Object one(Ast.Comprehension comprehension, Iterable<?> items) {
        int count = 0;
        for (Object item : items) {
            Object value = test(comprehension, item);
            if (value instanceof EvaluationError) {
                return value;
            }
            count += value.equals(true) ? 1 : 0;
        }
        return count == 1;
    }

    private Object filter(Ast.Comprehension comprehension, Iterable<?> items) {
        List<Object> kept = new ArrayList<>();
        for (Object item : items) {
            Object value = test(comprehension, item);
            if (value instanceof EvaluationError) {
                return value;
            }
            if (value.equals(true)) {
                kept.add(item);
            }
        }
        return kept;
    }

    private Object map(Ast.Comprehension comprehension, Iterable<?> items) {
        List<Object> results = new ArrayList<>();
        for (Object item : items) {
            beginIteration(comprehension, item);
            Ast filter = comprehension.filter();
            Object isTaken = filter == null ? (Object) true : boolOrError(evaluate(filter));
            if (isTaken instanceof EvaluationError) {
                return isTaken;
            }
            if (isTaken.equals(true)) {
                Object value = evaluate(comprehension.body());
                if (value instanceof EvaluationError) {
                    return value;
                }
                results.add(value);
            }
        }
        return results;
    }
}
