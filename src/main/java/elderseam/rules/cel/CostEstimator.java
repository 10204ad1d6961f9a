package elderseam.rules.cel;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/** Estimates the worst-case cost of an expression from the declared sizes of its names, and finds the part that costs too much. */
final class CostEstimator {
    private static final int MAX_CHARS_OF_NON_STRING = 64;
    private static final int MAX_OCTETS_PER_CHAR = 4;

    /**
     * The bound of a node.
     *
     * @param cost of the node and all below it
     * @param size the largest that its value may be
     */
    private record Estimate(long cost, ValueSize size) {}

    private final Scope scope;
    private final VariableBindings<ValueSize> variables = new VariableBindings<>();
    private final long budget;
    private final IdentityHashMap<Ast, Long> costs = new IdentityHashMap<>();
    private Ast firstOverBudget; // in the order of evaluation, so that nothing below it is over the budget by itself

    private CostEstimator(Scope scope, long budget) {
        this.scope = scope;
        this.budget = budget;
    }

    /** The worst-case cost. Throws with a fault at the innermost part that is above the budget by itself. */
    static long maxCost(String text, Ast tree, Scope scope, long budget) throws ExpressionException {
        CostEstimator estimator = new CostEstimator(scope, budget);
        long cost = estimator.estimate(tree).cost;
        if (cost > budget) {
            String units = cost >= ValueSize.UNBOUNDED ? "without end" : Long.toString(cost);
            throw new ExpressionException(ExpressionFault.at(
                    text, estimator.firstOverBudget.position(), "may cost " + units + " units, allowed: " + budget));
        }
        return cost;
    }

    /** The worst-case cost of each node with all below it, by identity. */
    static Map<Ast, Long> costs(Ast tree, Scope scope) {
        CostEstimator estimator = new CostEstimator(scope, ValueSize.UNBOUNDED);
        estimator.estimate(tree);
        return estimator.costs;
    }

    private Estimate estimate(Ast node) {
        Estimate estimate = estimateOf(node);
        if (estimate.cost > budget && firstOverBudget == null) {
            firstOverBudget = node;
        }
        costs.put(node, estimate.cost);
        return estimate;
    }

    private Estimate estimateOf(Ast node) {
        if (node instanceof Ast.Literal literal) {
            return new Estimate(1, CostModel.sizeOf(literal.value()));
        }
        if (node instanceof Ast.Identifier identifier) {
            return new Estimate(1, size(identifier.name()));
        }
        if (node instanceof Ast.PresenceTest test) {
            return new Estimate(1 + estimate(test.field()).cost, ValueSize.ONE);
        }
        if (node instanceof Ast.Select select) {
            return select(select);
        }
        if (node instanceof Ast.Call call) {
            return call.is(Operators.CONDITIONAL) ? conditional(call) : call(call);
        }
        if (node instanceof Ast.CreateList list) {
            return list(list.items());
        }
        return node instanceof Ast.CreateMap map ? map(map) : comprehension((Ast.Comprehension) node);
    }

    private ValueSize size(String name) {
        ValueSize variable = variables.get(name);
        if (variable != null) {
            return variable;
        }
        Scope.Declaration declaration = scope.get(name);
        return declaration == null ? ValueSize.ONE : declaration.size();
    }

    private Estimate select(Ast.Select select) {
        Estimate operand = estimate(select.operand());
        long fieldCost = ValueSize.text(select.field().length()).scanCost();
        return new Estimate(
                ValueSize.add(operand.cost, 1 + fieldCost),
                select.testOnly() ? ValueSize.ONE : operand.size.itemOrOne());
    }

    private Estimate list(List<Ast> items) {
        long cost = 1;
        ValueSize largest = ValueSize.NONE;
        for (Ast node : items) {
            Estimate item = estimate(node);
            cost = ValueSize.add(cost, item.cost);
            largest = ValueSize.max(largest, item.size);
        }
        return new Estimate(cost, ValueSize.list(items.size(), largest));
    }

    private Estimate map(Ast.CreateMap map) {
        long cost = 1;
        ValueSize largest = ValueSize.NONE;
        for (int i = 0; i < map.keys().size(); i++) {
            Estimate key = estimate(map.keys().get(i));
            Estimate value = estimate(map.values().get(i));
            cost = ValueSize.add(cost, ValueSize.add(key.size.scanCost(), ValueSize.add(key.cost, value.cost)));
            largest = ValueSize.max(largest, ValueSize.max(key.size, value.size));
        }
        return new Estimate(cost, ValueSize.list(map.keys().size(), largest));
    }

    private Estimate comprehension(Ast.Comprehension comprehension) {
        Estimate range = estimate(comprehension.range());
        long length = range.size.length();
        ValueSize item = range.size.itemOrOne();
        ValueSize hidden = variables.bind(comprehension.variable(), item);
        long filterCost = comprehension.filter() == null ? 0 : estimate(comprehension.filter()).cost;
        Estimate body = estimate(comprehension.body());
        variables.unbind(comprehension.variable(), hidden);
        long iterationCost = ValueSize.add(1, ValueSize.add(filterCost, body.cost));
        long cost = ValueSize.add(ValueSize.add(1, range.cost), ValueSize.multiply(length, iterationCost));
        ValueSize size = switch (comprehension.macro()) {
            case MAP -> ValueSize.list(length, body.size);
            case FILTER -> ValueSize.list(length, item);
            case ALL, EXISTS, EXISTS_ONE -> ValueSize.ONE;
        };
        return new Estimate(cost, size);
    }

    private Estimate conditional(Ast.Call call) {
        Estimate condition = estimate(call.argument(0));
        Estimate whenTrue = estimate(call.argument(1));
        Estimate whenFalse = estimate(call.argument(2));
        return new Estimate(
                ValueSize.add(1, ValueSize.add(condition.cost, Math.max(whenTrue.cost, whenFalse.cost))),
                ValueSize.max(whenTrue.size, whenFalse.size));
    }

    private Estimate call(Ast.Call call) {
        ValueSize[] sizes = new ValueSize[call.arguments().size()];
        long cost = 0;
        for (int i = 0; i < sizes.length; i++) {
            Estimate argument = estimate(call.argument(i));
            sizes[i] = argument.size;
            cost = ValueSize.add(cost, argument.cost);
        }
        return new Estimate(
                ValueSize.add(cost, CostModel.costOf(call.function(), sizes)), resultSize(call.function(), sizes));
    }

    private static ValueSize resultSize(String function, ValueSize[] arguments) {
        ValueSize first = arguments[0];
        return switch (function) {
            case Operators.ADD -> sum(first, arguments[1]);
            case Operators.INDEX -> first.itemOrOne();
            case "string" -> ValueSize.text(Math.max(MAX_CHARS_OF_NON_STRING, first.chars()));
            case "bytes" -> ValueSize.text(ValueSize.multiply(MAX_OCTETS_PER_CHAR, first.chars()));
            case "dyn" -> first;
            default -> ValueSize.ONE;
        };
    }

    private static ValueSize sum(ValueSize left, ValueSize right) {
        return new ValueSize(
                ValueSize.add(left.length(), right.length()),
                left.item() == null ? right.item() : ValueSize.max(left, right).item(),
                ValueSize.add(left.chars(), right.chars()),
                ValueSize.add(left.scanCost(), right.scanCost()));
    }
}
