package elderseam.rules.cel;

import static elderseam.rules.cel.Type.Plain.BOOL;
import static elderseam.rules.cel.Type.Plain.DOUBLE;
import static elderseam.rules.cel.Type.Plain.INT;
import static elderseam.rules.cel.Type.Plain.STRING;

import com.google.re2j.Pattern;
import elderseam.rules.cel.Program.Any;
import elderseam.rules.cel.Program.Real;
import elderseam.rules.cel.Program.Truth;
import elderseam.rules.cel.Program.Whole;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A checked tree to a {@link Program}. Where types are known the steps are made for them; all else goes through the reference's own
 * library, with boxes. What holds no name is evaluated here, once.
 */
final class Planner {
    private final Map<Ast, Type> types;
    private final Scope scope;
    private final Map<Ast, Pattern> patterns;
    private final Map<String, Integer> variables = new HashMap<>(); // of macros: their places
    private int depth;

    private Planner(Map<Ast, Type> types, Scope scope, Map<Ast, Pattern> patterns) {
        this.types = types;
        this.scope = scope;
        this.patterns = patterns;
    }

    static Program plan(Ast tree, Map<Ast, Type> types, Scope scope, Map<Ast, Pattern> patterns, long budget) {
        Planner p = new Planner(types, scope, patterns);
        Type t = types.get(tree);
        return new Program(
                p.any(tree),
                t == BOOL || t == Type.Plain.DYN ? p.truth(tree) : in -> false,
                t == INT || t == Type.Plain.DYN ? p.whole(tree) : in -> 0,
                t == DOUBLE || t == Type.Plain.DYN ? p.real(tree) : in -> 0,
                budget);
    }

    private boolean is(Ast a, Type t) {
        return types.get(a) == t;
    }

    private boolean both(Ast.Call c, Type t) {
        return is(c.args().get(0), t) && is(c.args().get(1), t);
    }

    private Integer variable(Ast a) {
        return a instanceof Ast.Name n ? variables.get(n.name()) : null;
    }

    // ---------------------------------------------------------------- bools

    Truth truth(Ast a) {
        if (a instanceof Ast.Literal l && l.value() instanceof Boolean b) {
            return b ? in -> true : in -> false;
        }
        if (a instanceof Ast.Name n && variable(a) == null && is(a, BOOL)) {
            int number = scope.number(n.name());
            return in -> in.truth(number);
        }
        if (a instanceof Ast.Present p) {
            int number = scope.number(p.name().name());
            return in -> in.present(number);
        }
        Truth t = a instanceof Ast.Call c
                ? truth(c)
                : a instanceof Ast.Each e
                                && !e.macro().equals("map")
                                && !e.macro().equals("filter")
                        ? new ComprehensionEvaluator(this, e)
                        : null;
        if (t != null) {
            return t;
        }
        Any of = anyOf(a);
        return in -> in.unboxed(checked(in, of.of(in)), false);
    }

    /** A step's null with an error stays that error. */
    private static Object checked(EvaluationInputs in, Object v) {
        return v == null && in.error != null ? in.error : v;
    }

    private Truth truth(Ast.Call c) {
        List<Ast> args = c.args();
        switch (c.function()) {
            case "&&", "||" -> {
                return logical(
                        truth(args.get(0)), truth(args.get(1)), c.function().equals("||"));
            }
            case "!_" -> {
                Truth of = truth(args.get(0));
                return in -> !of.of(in);
            }
            case "?:" -> {
                Truth when = truth(args.get(0)), then = truth(args.get(1)), otherwise = truth(args.get(2));
                return in -> {
                    boolean first = when.of(in);
                    return in.error == null && (first ? then : otherwise).of(in);
                };
            }
            case "==", "!=", "<", "<=", ">", ">=" -> {
                return compared(c);
            }
            case "startsWith", "endsWith", "contains" -> {
                return both(c, STRING) ? StringSteps.test(c.function(), any(args.get(0)), any(args.get(1))) : null;
            }
            case "matches" -> {
                return is(args.get(0), STRING) ? StringSteps.matches(any(args.get(0)), patterns.get(c)) : null;
            }
            case "in" -> {
                Object list = constant(args.get(1)) && is(args.get(0), STRING) ? folded(args.get(1)) : null;
                return list instanceof List<?> l
                        ? StringSteps.among(any(args.get(0)), l)
                        : null; // one that ends in an error does so each time
            }
            default -> {
                return null;
            }
        }
    }

    private static Truth logical(Truth a, Truth b, boolean decides) {
        return in -> {
            boolean x = a.of(in);
            EvaluationError e = in.error;
            if (e == null && x == decides) {
                return decides;
            }
            in.error = null;
            boolean y = b.of(in);
            if (in.error == null && y == decides) {
                return decides;
            }
            in.error = e != null ? e : in.error;
            return !decides;
        };
    }

    private Truth compared(Ast.Call c) {
        Ast x = c.args().get(0), y = c.args().get(1);
        if (both(c, INT)) {
            Whole a = whole(x), b = whole(y);
            return switch (c.function()) {
                case "==" -> in -> wholes(in, a, b) == 0;
                case "!=" -> in -> wholes(in, a, b) != 0;
                case "<" -> in -> wholes(in, a, b) < 0;
                case "<=" -> in -> wholes(in, a, b) <= 0;
                case ">" -> in -> wholes(in, a, b) > 0;
                default -> in -> wholes(in, a, b) >= 0;
            };
        }
        if (both(c, DOUBLE)) {
            Real a = real(x), b = real(y);
            return switch (c.function()) {
                case "==" -> in -> reals(in, a, b, 0, 0);
                case "!=" -> in -> !reals(in, a, b, 0, 0);
                case "<" -> in -> reals(in, a, b, -1, -1);
                case "<=" -> in -> reals(in, a, b, -1, 0);
                case ">" -> in -> reals(in, a, b, 1, 1);
                default -> in -> reals(in, a, b, 0, 1);
            };
        }
        boolean equality = c.function().equals("==") || c.function().equals("!=");
        return equality && (is(x, STRING) || is(y, STRING))
                ? StringSteps.equal(any(x), any(y), c.function().equals("=="))
                : null;
    }

    private static int wholes(EvaluationInputs in, Whole a, Whole b) {
        long x = a.of(in);
        return in.error != null ? 0 : Long.compare(x, b.of(in));
    }

    /** Whether the order lies from {@code least} to {@code most}; with what is not a number it never does. */
    private static boolean reals(EvaluationInputs in, Real a, Real b, int least, int most) {
        double x = a.of(in);
        double y = second(in, b);
        int order = x < y ? -1 : x > y ? 1 : x == y ? 0 : 2;
        return order >= least && order <= most;
    }

    // ---------------------------------------------------------------- numbers

    Whole whole(Ast a) {
        if (a instanceof Ast.Literal l && l.value() instanceof Long n) {
            return in -> n;
        }
        if (a instanceof Ast.Name n && variable(a) == null && is(a, INT)) {
            int number = scope.number(n.name());
            return in -> in.whole(number);
        }
        if (a instanceof Ast.Call c && c.function().equals("?:")) {
            Truth when = truth(c.args().get(0));
            Whole then = whole(c.args().get(1)), otherwise = whole(c.args().get(2));
            return in -> {
                boolean first = when.of(in);
                return in.error != null ? 0 : (first ? then : otherwise).of(in);
            };
        }
        if (a instanceof Ast.Call c && c.args().size() == 2 && both(c, INT) && "+-*/%".contains(c.function())) {
            return whole(
                    c.function().charAt(0),
                    whole(c.args().get(0)),
                    whole(c.args().get(1)));
        }
        if (a instanceof Ast.Call c
                && c.function().equals("size")
                && is(c.args().get(0), STRING)) {
            return StringSteps.size(any(c.args().get(0)));
        }
        Any of = anyOf(a);
        return in -> in.unboxed(checked(in, of.of(in)), 0L);
    }

    private static Whole whole(char sign, Whole a, Whole b) {
        return in -> {
            long x = a.of(in);
            long y = in.error != null ? 0 : b.of(in);
            if (in.error != null) {
                return 0;
            }
            return switch (sign) {
                case '+' -> {
                    long r = x + y;
                    yield ((x ^ r) & (y ^ r)) < 0 ? failed(in, EvaluationError.OVERFLOW) : r;
                }
                case '-' -> {
                    long r = x - y;
                    yield ((x ^ y) & (x ^ r)) < 0 ? failed(in, EvaluationError.OVERFLOW) : r;
                }
                case '*' -> {
                    long high = Math.multiplyHigh(x, y), low = x * y;
                    yield high == low >> 63 ? low : failed(in, EvaluationError.OVERFLOW);
                }
                default ->
                    y == 0
                            ? failed(in, EvaluationError.BY_ZERO)
                            : y == -1 && x == Long.MIN_VALUE
                                    ? failed(in, EvaluationError.OVERFLOW)
                                    : sign == '/' ? x / y : x % y;
            };
        };
    }

    private static long failed(EvaluationInputs in, EvaluationError e) {
        in.fail(e);
        return 0;
    }

    Real real(Ast a) {
        if (a instanceof Ast.Literal l && l.value() instanceof Double d) {
            return in -> d;
        }
        if (a instanceof Ast.Name n && variable(a) == null && is(a, DOUBLE)) {
            int number = scope.number(n.name());
            return in -> in.real(number);
        }
        if (a instanceof Ast.Call c
                && c.function().equals("double")
                && is(c.args().get(0), INT)) {
            Whole of = whole(c.args().get(0));
            return in -> of.of(in);
        }
        if (a instanceof Ast.Call c && c.args().size() == 2 && both(c, DOUBLE) && "+-*/".contains(c.function())) {
            Real x = real(c.args().get(0)), y = real(c.args().get(1));
            return switch (c.function().charAt(0)) {
                case '+' -> in -> x.of(in) + second(in, y);
                case '-' -> in -> x.of(in) - second(in, y);
                case '*' -> in -> x.of(in) * second(in, y);
                default -> in -> x.of(in) / second(in, y);
            };
        }
        Any of = anyOf(a);
        return in -> in.unboxed(checked(in, of.of(in)), 0.0);
    }

    /** No step runs on top of an error: a later {@code ||} would take it for its own. */
    private static double second(EvaluationInputs in, Real y) {
        return in.error != null ? 0 : y.of(in);
    }

    // ---------------------------------------------------------------- all others

    /** A step that gives a boxed value, by way of the plain one where there is one. */
    Any any(Ast a) {
        if (is(a, BOOL) && !constant(a) && variable(a) == null && !(a instanceof Ast.Select)) {
            Truth t = truth(a);
            return in -> {
                boolean v = t.of(in);
                return in.error != null ? null : (Object) v;
            };
        }
        if (is(a, INT)
                && a instanceof Ast.Call c
                && (c.function().equals("?:") || (c.args().size() == 2 && both(c, INT)))) {
            Whole w = whole(a);
            return in -> {
                long v = w.of(in);
                return in.error != null ? null : (Object) v;
            };
        }
        return anyOf(a);
    }

    private boolean constant(Ast a) {
        return !(a instanceof Ast.Name || a instanceof Ast.Present || a instanceof Ast.Each)
                && Ast.below(a).stream().allMatch(this::constant);
    }

    private Object folded(Ast a) {
        return new Evaluator(n -> null, patterns, new CostCounter(ValueSize.MOST)).value(a);
    }

    private Any anyOf(Ast a) {
        if (constant(a)) {
            Object v = folded(a);
            return v instanceof EvaluationError e ? in -> failedValue(in, e) : in -> v;
        }
        Integer variable = variable(a);
        if (variable != null) {
            int place = variable;
            return in -> in.variables[place];
        }
        if (a instanceof Ast.Name n) {
            int number = scope.number(n.name());
            return in -> {
                Object v = in.value(number);
                return v == null
                        ? failedValue(in, EvaluationError.NO_NAME)
                        : v instanceof EvaluationError e ? failedValue(in, e) : v;
            };
        }
        if (a instanceof Ast.Select x) {
            return CollectionSteps.select(any(x.of()), x.field(), x.has());
        }
        if (a instanceof Ast.ListOf x) {
            return CollectionSteps.list(anys(x.items()));
        }
        if (a instanceof Ast.MapOf x) {
            return CollectionSteps.map(anys(x.keys()), anys(x.values()));
        }
        if (a instanceof Ast.Each x) {
            return new ComprehensionEvaluator(this, x)::collect;
        }
        return a instanceof Ast.Call c
                ? call(c)
                : in -> in.present(scope.number(((Ast.Present) a).name().name()));
    }

    private Any[] anys(List<Ast> nodes) {
        return nodes.stream().map(this::any).toArray(Any[]::new);
    }

    private static Object failedValue(EvaluationInputs in, EvaluationError e) {
        in.fail(e);
        return null;
    }

    private Any call(Ast.Call c) {
        if (c.function().equals("?:")) {
            Truth when = truth(c.args().get(0));
            Any then = any(c.args().get(1)), otherwise = any(c.args().get(2));
            return in -> {
                boolean first = when.of(in);
                return in.error != null ? null : (first ? then : otherwise).of(in);
            };
        }
        if (c.function().equals("[]") && c.args().get(1) instanceof Ast.Literal l && l.value() instanceof String key) {
            return CollectionSteps.select(any(c.args().get(0)), key, false); // the same, and its errors too
        }
        if (c.function().equals("+") && both(c, STRING)) {
            return StringSteps.joined(any(c.args().get(0)), any(c.args().get(1)));
        }
        if (c.function().equals("&&") || c.function().equals("||")) {
            Truth t = truth(c);
            return in -> {
                boolean v = t.of(in);
                return in.error != null ? null : (Object) v;
            };
        }
        return CollectionSteps.call(c.function(), anys(c.args()), patterns.get(c));
    }

    // ---------------------------------------------------------------- macros

    /** A place for a macro's variable; what it hides, to be given back. */
    int enter(String name) {
        variables.put(name, depth);
        return depth++;
    }

    Integer hidden(String name) {
        return variables.get(name);
    }

    void leave(String name, Integer hidden) {
        depth--;
        if (hidden == null) {
            variables.remove(name);
        } else {
            variables.put(name, hidden);
        }
    }
}
