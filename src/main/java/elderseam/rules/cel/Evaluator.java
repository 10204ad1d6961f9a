package elderseam.rules.cel;

import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The reference: a walk over the tree. {@code &&} and {@code ||} take errors up where the other side decides, in either order;
 * {@code all} and {@code exists} likewise (CEL specification, "Logical Operators" and "Macros").
 */
final class Evaluator {
    private final Function<String, Object> names;
    private final Map<Ast, Pattern> patterns;
    private final CostCounter counter;
    private final Map<String, Object> variables = new HashMap<>();

    Evaluator(Function<String, Object> names, Map<Ast, Pattern> patterns, CostCounter counter) {
        this.names = names;
        this.patterns = patterns;
        this.counter = counter;
    }

    Object value(Ast a) {
        if (counter.over()) {
            return EvaluationError.COST;
        }
        Object v = a instanceof Ast.Call x ? call(x) : a instanceof Ast.Each x ? each(x) : plain(a);
        return counter.over() ? EvaluationError.COST : v;
    }

    private Object plain(Ast a) {
        counter.count(1);
        if (a instanceof Ast.Literal x) {
            return x.value();
        }
        if (a instanceof Ast.Name x) {
            Object v = variables.containsKey(x.name()) ? variables.get(x.name()) : names.apply(x.name());
            return v == null ? EvaluationError.NO_NAME : v;
        }
        if (a instanceof Ast.Present x) {
            Object v = names.apply(x.name().name());
            return v instanceof EvaluationError ? v : (Object) (v != null);
        }
        if (a instanceof Ast.Select x) {
            Object of = value(x.of());
            counter.count(ValueSize.text(x.field().length()).whole());
            if (of instanceof EvaluationError) {
                return of;
            }
            Object v = of instanceof Map<?, ?> m ? m.get(x.field()) : EvaluationError.NO_OVERLOAD;
            return v == EvaluationError.NO_OVERLOAD ? v : x.has() ? v != null : v == null ? EvaluationError.NO_KEY : v;
        }
        return a instanceof Ast.ListOf x ? list(x) : map((Ast.MapOf) a);
    }

    private Object list(Ast.ListOf x) {
        List<Object> all = new ArrayList<>();
        for (Ast i : x.items()) {
            Object v = value(i);
            if (v instanceof EvaluationError) {
                return v;
            }
            all.add(v);
        }
        return all;
    }

    private Object map(Ast.MapOf x) {
        Map<Object, Object> all = new LinkedHashMap<>();
        for (int i = 0; i < x.keys().size(); i++) {
            Object k = value(x.keys().get(i)), v = value(x.values().get(i));
            if (k instanceof EvaluationError || v instanceof EvaluationError) {
                return k instanceof EvaluationError ? k : v;
            }
            counter.count(CostModel.of(k).whole());
            if (!(k instanceof Long || k instanceof UnsignedLong || k instanceof String || k instanceof Boolean)) {
                return EvaluationError.NO_OVERLOAD;
            }
            if (Functions.lookup(all, k) != null) {
                return EvaluationError.DUPLICATE;
            }
            all.put(k, v);
        }
        return all;
    }

    private Object call(Ast.Call x) {
        switch (x.function()) {
            case "&&", "||" -> {
                return logical(x);
            }
            case "?:" -> {
                counter.count(1);
                Object c = value(x.args().get(0));
                return c instanceof Boolean b
                        ? value(x.args().get(b ? 1 : 2))
                        : c instanceof EvaluationError ? c : EvaluationError.NO_OVERLOAD;
            }
            default -> {
                Object[] args = new Object[x.args().size()];
                ValueSize[] sizes = new ValueSize[args.length];
                for (int i = 0; i < args.length; i++) {
                    args[i] = value(x.args().get(i));
                    if (args[i] instanceof EvaluationError) {
                        return args[i];
                    }
                    sizes[i] = CostModel.of(args[i]);
                }
                // what goes through items counts them itself
                boolean items = x.function().equals("in")
                        || x.function().equals("==")
                        || x.function().equals("!=");
                counter.count(items ? 1 : CostModel.of(x.function(), sizes));
                return counter.over()
                        ? EvaluationError.COST
                        : x.function().equals("matches")
                                ? args[0] instanceof String s
                                        ? (Object) patterns.get(x).matcher(s).find()
                                        : EvaluationError.NO_OVERLOAD
                                : Functions.call(x.function(), args, counter);
            }
        }
    }

    /** The value that decides, on either side, decides; else an error is one. */
    private Object logical(Ast.Call x) {
        counter.count(1);
        boolean decides = x.function().equals("||");
        Object a = value(x.args().get(0));
        if (a instanceof Boolean b && b == decides) {
            return decides;
        }
        Object b = value(x.args().get(1));
        if (b instanceof Boolean v && v == decides) {
            return decides;
        }
        return !(a instanceof Boolean)
                ? a instanceof EvaluationError ? a : EvaluationError.NO_OVERLOAD
                : b instanceof Boolean || b instanceof EvaluationError ? b : EvaluationError.NO_OVERLOAD;
    }

    private Object each(Ast.Each x) {
        counter.count(1);
        Object range = value(x.range());
        if (range instanceof EvaluationError) {
            return range;
        }
        Iterable<?> items = range instanceof List<?> l ? l : range instanceof Map<?, ?> m ? m.keySet() : null;
        if (items == null) {
            return EvaluationError.NO_OVERLOAD;
        }
        boolean had = variables.containsKey(x.variable());
        Object hidden = variables.get(x.variable());
        Object v = over(x, items);
        if (had) {
            variables.put(x.variable(), hidden);
        } else {
            variables.remove(x.variable());
        }
        return v;
    }

    private Object over(Ast.Each x, Iterable<?> items) {
        List<Object> kept = new ArrayList<>();
        Object error = null;
        int trues = 0;
        for (Object item : items) {
            counter.count(1);
            variables.put(x.variable(), item);
            Object filter = x.filter() == null ? (Object) true : value(x.filter());
            Object v = filter instanceof Boolean b
                    ? b ? value(x.body()) : null
                    : filter instanceof EvaluationError ? filter : EvaluationError.NO_OVERLOAD;
            if (counter.over()) {
                return EvaluationError.COST;
            }
            if (v == null) {
                continue;
            }
            if (!x.macro().equals("map") && !(v instanceof Boolean)) {
                v = v instanceof EvaluationError ? v : EvaluationError.NO_OVERLOAD;
            }
            boolean absorbs = x.macro().equals("all") || x.macro().equals("exists");
            if (v instanceof EvaluationError && !absorbs) {
                return v;
            }
            if (v instanceof EvaluationError) {
                error = error == null ? v : error;
            } else if ((x.macro().equals("all") && v.equals(false))
                    || (x.macro().equals("exists") && v.equals(true))) {
                return v;
            } else if (x.macro().equals("map") || (x.macro().equals("filter") && v.equals(true))) {
                kept.add(x.macro().equals("map") ? v : item);
            }
            trues += v.equals(true) ? 1 : 0;
        }
        return switch (x.macro()) {
            case "all" -> error == null ? (Object) true : error;
            case "exists" -> error == null ? (Object) false : error;
            case "exists_one" -> trues == 1;
            default -> kept;
        };
    }
}
