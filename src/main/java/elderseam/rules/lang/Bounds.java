package elderseam.rules.lang;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The worst-case cost of an expression, from declared sizes of its names, and of which part it is most. */
final class Bounds {
    /** Of one node with all below it. */
    record Bound(long cost, Size size) {}

    private final Scope scope;
    private final Map<String, Size> variables = new HashMap<>();
    private final long budget;
    private Map<Ast, Long> seen; // the bound of each node, where it is asked for
    private Ast culprit; // the first, deepest node that is above the budget by itself

    private Bounds(Scope scope, long budget) {
        this.scope = scope;
        this.budget = budget;
    }

    /** The bound; refused where it is above the budget, at the innermost part that is. */
    static long of(String text, Ast tree, Scope scope, long budget) throws FaultException {
        Bounds b = new Bounds(scope, budget);
        long cost = b.of(tree).cost;
        if (cost > budget) {
            throw new FaultException(Fault.at(
                    text,
                    b.culprit.at(),
                    "may cost " + (cost >= Size.MOST ? "without end" : Long.toString(cost)) + " units, allowed: "
                            + budget));
        }
        return cost;
    }

    /** A line for each node, with its type and bound; below what holds it. */
    static String explained(Ast tree, Map<Ast, Type> types, Scope scope) {
        Bounds b = new Bounds(scope, Size.MOST);
        StringBuilder all = new StringBuilder();
        b.seen = new java.util.IdentityHashMap<>();
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
                        : a instanceof Ast.Present x
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
                ? new Bound(1, Cost.of(x.value()))
                : a instanceof Ast.Name x
                        ? new Bound(1, size(x.name()))
                        : a instanceof Ast.Present x
                                ? new Bound(1 + of(x.name()).cost, Size.ONE)
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

    private Size size(String name) {
        Size s = variables.get(name);
        return s != null
                ? s
                : scope.get(name) == null ? Size.ONE : scope.get(name).size();
    }

    private Bound select(Ast.Select x) {
        Bound of = of(x.of());
        return new Bound(
                Size.add(of.cost, 1 + Size.text(x.field().length()).whole()), x.has() ? Size.ONE : of.size.items());
    }

    private Bound list(List<Ast> items) {
        long cost = 1;
        Size item = Size.NONE;
        for (Ast i : items) {
            Bound b = of(i);
            cost = Size.add(cost, b.cost);
            item = Size.larger(item, b.size);
        }
        return new Bound(cost, Size.list(items.size(), item));
    }

    private Bound map(Ast.MapOf x) {
        long cost = 1;
        Size item = Size.NONE;
        for (int i = 0; i < x.keys().size(); i++) {
            Bound k = of(x.keys().get(i)), v = of(x.values().get(i));
            cost = Size.add(cost, Size.add(k.size.whole(), Size.add(k.cost, v.cost)));
            item = Size.larger(item, Size.larger(k.size, v.size));
        }
        return new Bound(cost, Size.list(x.keys().size(), item));
    }

    private Bound each(Ast.Each x) {
        Bound range = of(x.range());
        Size item = range.size.items(), hidden = variables.put(x.variable(), item);
        Bound filter = x.filter() == null ? new Bound(0, Size.ONE) : of(x.filter()), body = of(x.body());
        if (hidden == null) {
            variables.remove(x.variable());
        } else {
            variables.put(x.variable(), hidden);
        }
        long round = Size.add(1, Size.add(filter.cost, body.cost));
        long cost = Size.add(Size.add(1, range.cost), Size.mul(range.size.length(), round));
        return new Bound(
                cost,
                switch (x.macro()) {
                    case "map" -> Size.list(range.size.length(), body.size);
                    case "filter" -> Size.list(range.size.length(), item);
                    default -> Size.ONE;
                });
    }

    private Bound call(Ast.Call x) {
        Bound[] args = x.args().stream().map(this::of).toArray(Bound[]::new);
        if (x.function().equals("?:")) {
            return new Bound(
                    Size.add(1, Size.add(args[0].cost, Math.max(args[1].cost, args[2].cost))),
                    Size.larger(args[1].size, args[2].size));
        }
        Size[] sizes = new Size[args.length];
        long cost = 0;
        for (int i = 0; i < args.length; i++) {
            sizes[i] = args[i].size;
            cost = Size.add(cost, args[i].cost);
        }
        return new Bound(Size.add(cost, Cost.of(x.function(), sizes)), result(x.function(), sizes));
    }

    private static Size result(String function, Size[] a) {
        return switch (function) {
            case "+" ->
                new Size(
                        Size.add(a[0].length(), a[1].length()),
                        a[0].item() == null
                                ? a[1].item()
                                : Size.larger(a[0], a[1]).item(),
                        Size.add(a[0].chars(), a[1].chars()),
                        Size.add(a[0].whole(), a[1].whole()));
            case "[]" -> a[0].items();
            case "string" -> Size.text(Math.max(64, a[0].chars()));
            case "bytes" -> Size.text(Size.mul(4, a[0].chars()));
            case "dyn" -> a[0];
            default -> Size.ONE;
        };
    }
}
