package elderseam.rules.cel;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/** The worst-case cost of an expression, from declared sizes of its names, and of which part it is most. */
final class CostEstimator {
    /** Of one node with all below it. */
    record Bound(long cost, ValueSize size) {}

    private final Scope scope;
    private final Map<String, ValueSize> variables = new HashMap<>();
    private final long budget;
    private IdentityHashMap<Ast, Long> seen; // the bound of each node, where it is asked for
    private Ast culprit; // the first, deepest node that is above the budget by itself

    private CostEstimator(Scope scope, long budget) {
        this.scope = scope;
        this.budget = budget;
    }

    /** The bound; refused where it is above the budget, at the innermost part that is. */
    static long of(String text, Ast tree, Scope scope, long budget) throws ExpressionException {
        CostEstimator b = new CostEstimator(scope, budget);
        long cost = b.of(tree).cost;
        if (cost > budget) {
            throw new ExpressionException(ExpressionFault.at(
                    text,
                    b.culprit.at(),
                    "may cost " + (cost >= ValueSize.MOST ? "without end" : Long.toString(cost)) + " units, allowed: "
                            + budget));
        }
        return cost;
    }

    /** A line for each node, with its type and bound; below what holds it. */
    static String explained(Ast tree, Map<Ast, Type> types, Scope scope) {
        CostEstimator b = new CostEstimator(scope, ValueSize.MOST);
        StringBuilder all = new StringBuilder();
        b.seen = new IdentityHashMap<>();
        b.of(tree);
        b.explain(tree, 0, types, all);
        return all.toString();
    }

    private void explain(Ast a, int depth, Map<Ast, Type> types, StringBuilder to) {
        String what = "  ".repeat(Math.min(depth, 40)) + words(a);
        to.append(String.format(java.util.Locale.ROOT, "%-56s %-24s %s%n", what, types.get(a), seen.get(a)));
        Ast.below(a).forEach(x -> explain(x, depth + 1, types, to));
    }

    private static String words(Ast a) {
        return a instanceof Ast.Literal x
                ? x.value() instanceof String s ? "'" + s + "'" : x.value().toString()
                : a instanceof Ast.Name x
                        ? x.name()
                        : a instanceof Ast.Present
                                ? "has"
                                : a instanceof Ast.Select x
                                        ? (x.has() ? "has ." : ".") + x.field()
                                        : a instanceof Ast.Call x
                                                ? x.function()
                                                : a instanceof Ast.ListOf
                                                        ? "[...]"
                                                        : a instanceof Ast.MapOf
                                                                ? "{...}"
                                                                : ((Ast.Each) a).macro() + " "
                                                                        + ((Ast.Each) a).variable();
    }

    private Bound of(Ast a) {
        Bound b = a instanceof Ast.Literal x
                ? new Bound(1, CostModel.of(x.value()))
                : a instanceof Ast.Name x
                        ? new Bound(1, size(x.name()))
                        : a instanceof Ast.Present x
                                ? new Bound(1 + of(x.name()).cost, ValueSize.ONE)
                                : a instanceof Ast.Select x
                                        ? select(x)
                                        : a instanceof Ast.Call x
                                                ? call(x)
                                                : a instanceof Ast.ListOf x
                                                        ? list(x.items())
                                                        : a instanceof Ast.MapOf x ? map(x) : each((Ast.Each) a);
        if (b.cost > budget && culprit == null) {
            culprit = a;
        }
        if (seen != null) {
            seen.put(a, b.cost);
        }
        return b;
    }

    private ValueSize size(String name) {
        ValueSize s = variables.get(name);
        return s != null
                ? s
                : scope.get(name) == null ? ValueSize.ONE : scope.get(name).size();
    }

    private Bound select(Ast.Select x) {
        Bound of = of(x.of());
        return new Bound(
                ValueSize.add(of.cost, 1 + ValueSize.text(x.field().length()).whole()),
                x.has() ? ValueSize.ONE : of.size.items());
    }

    private Bound list(List<Ast> items) {
        long cost = 1;
        ValueSize item = ValueSize.NONE;
        for (Ast i : items) {
            Bound b = of(i);
            cost = ValueSize.add(cost, b.cost);
            item = ValueSize.larger(item, b.size);
        }
        return new Bound(cost, ValueSize.list(items.size(), item));
    }

    private Bound map(Ast.MapOf x) {
        long cost = 1;
        ValueSize item = ValueSize.NONE;
        for (int i = 0; i < x.keys().size(); i++) {
            Bound k = of(x.keys().get(i)), v = of(x.values().get(i));
            cost = ValueSize.add(cost, ValueSize.add(k.size.whole(), ValueSize.add(k.cost, v.cost)));
            item = ValueSize.larger(item, ValueSize.larger(k.size, v.size));
        }
        return new Bound(cost, ValueSize.list(x.keys().size(), item));
    }

    private Bound each(Ast.Each x) {
        Bound range = of(x.range());
        ValueSize item = range.size.items(), hidden = variables.put(x.variable(), item);
        Bound filter = x.filter() == null ? new Bound(0, ValueSize.ONE) : of(x.filter()), body = of(x.body());
        if (hidden == null) {
            variables.remove(x.variable());
        } else {
            variables.put(x.variable(), hidden);
        }
        long round = ValueSize.add(1, ValueSize.add(filter.cost, body.cost));
        long cost = ValueSize.add(ValueSize.add(1, range.cost), ValueSize.mul(range.size.length(), round));
        return new Bound(
                cost,
                switch (x.macro()) {
                    case "map" -> ValueSize.list(range.size.length(), body.size);
                    case "filter" -> ValueSize.list(range.size.length(), item);
                    default -> ValueSize.ONE;
                });
    }

    private Bound call(Ast.Call x) {
        Bound[] args = x.args().stream().map(this::of).toArray(Bound[]::new);
        if (x.function().equals("?:")) {
            return new Bound(
                    ValueSize.add(1, ValueSize.add(args[0].cost, Math.max(args[1].cost, args[2].cost))),
                    ValueSize.larger(args[1].size, args[2].size));
        }
        ValueSize[] sizes = new ValueSize[args.length];
        long cost = 0;
        for (int i = 0; i < args.length; i++) {
            sizes[i] = args[i].size;
            cost = ValueSize.add(cost, args[i].cost);
        }
        return new Bound(ValueSize.add(cost, CostModel.of(x.function(), sizes)), result(x.function(), sizes));
    }

    private static ValueSize result(String function, ValueSize[] a) {
        return switch (function) {
            case "+" ->
                new ValueSize(
                        ValueSize.add(a[0].length(), a[1].length()),
                        a[0].item() == null
                                ? a[1].item()
                                : ValueSize.larger(a[0], a[1]).item(),
                        ValueSize.add(a[0].chars(), a[1].chars()),
                        ValueSize.add(a[0].whole(), a[1].whole()));
            case "[]" -> a[0].items();
            case "string" -> ValueSize.text(Math.max(64, a[0].chars()));
            case "bytes" -> ValueSize.text(ValueSize.mul(4, a[0].chars()));
            case "dyn" -> a[0];
            default -> ValueSize.ONE;
        };
    }
}
