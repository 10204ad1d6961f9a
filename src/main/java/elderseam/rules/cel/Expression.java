package elderseam.rules.cel;

import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** An expression that was read, typed and bounded; to be evaluated any number of times. */
public final class Expression {
    /** An expression, or every fault that it has. */
    public record Compiled(Expression expression, List<ExpressionFault> faults) {}

    /** A value, or an {@link EvaluationError}, and what it cost. */
    public record Outcome(Object value, long cost) {}

    private final Ast tree;
    private final Type type;
    private final long bound, budget;
    private final IdentityHashMap<Ast, Pattern> patterns = new IdentityHashMap<>();

    private final String text;
    private final Map<Ast, Type> types;
    private final Scope scope;

    private Expression(String text, Ast tree, Map<Ast, Type> types, Scope scope, long bound, long budget) {
        this.text = text;
        this.tree = tree;
        this.types = types;
        this.scope = scope;
        this.type = types.get(tree);
        this.bound = bound;
        this.budget = budget;
        List<Ast> all = new ArrayList<>(List.of(tree));
        for (int i = 0; i < all.size(); i++) {
            all.addAll(Ast.below(all.get(i)));
            if (all.get(i) instanceof Ast.Call c && c.function().equals("matches")) {
                patterns.put(
                        c, Functions.pattern((String) ((Ast.Literal) c.args().get(1)).value()));
            }
        }
    }

    /** Reads one; {@code asked}: what it is to give; {@code budget}: units that it may cost at the most. */
    public static Compiled compile(String text, Scope scope, Type asked, long budget) {
        return DeepRecursion.run(() -> compiled(text, scope, asked, budget));
    }

    private static Compiled compiled(String text, Scope scope, Type asked, long budget) {
        try {
            Ast tree = NameResolver.names(Parser.parse(text), scope);
            Map<Ast, Type> types = Checker.check(text, tree, scope, asked);
            return new Compiled(
                    new Expression(text, tree, types, scope, CostEstimator.of(text, tree, scope, budget), budget),
                    List.of());
        } catch (ExpressionException e) {
            return new Compiled(null, e.faults);
        }
    }

    /** What it gives. */
    public Type type() {
        return type;
    }

    /** The units that it may cost at the most, for inputs as declared. */
    public long bound() {
        return bound;
    }

    /** The compiled form; made anew at each call. */
    public Program program() {
        return DeepRecursion.run(() -> Planner.plan(tree, types, scope, patterns, budget));
    }

    public String text() {
        return text;
    }

    /** The names that it uses, but those of its macros' variables. */
    public java.util.Set<String> names() {
        java.util.Set<String> all = new java.util.TreeSet<>();
        List<Ast> nodes = new ArrayList<>(List.of(tree));
        for (int i = 0; i < nodes.size(); i++) {
            nodes.addAll(Ast.below(nodes.get(i)));
            if (nodes.get(i) instanceof Ast.Name n && scope.get(n.name()) != null) {
                all.add(n.name());
            }
        }
        return all;
    }

    /** What it gives wherever it gives something, if that is known here: the literals at the ends of its {@code ?:}; else null. */
    public List<Object> outcomes() {
        List<Object> all = new ArrayList<>();
        return outcomes(tree, all) ? all : null;
    }

    private static boolean outcomes(Ast a, List<Object> all) {
        if (a instanceof Ast.Call c && c.function().equals("?:")) {
            return outcomes(c.args().get(1), all) && outcomes(c.args().get(2), all);
        }
        if (a instanceof Ast.Call c
                && c.args().size() == 1
                && (c.function().equals("duration") || c.function().equals("timestamp"))
                && c.args().get(0) instanceof Ast.Literal l
                && l.value() instanceof String s) {
            return all.add(c.function().equals("duration") ? Functions.duration(s) : Functions.timestamp(s));
        }
        return a instanceof Ast.Literal l && all.add(l.value());
    }

    /** The checked tree, a line each node: what it is, its type, and the most that it may cost with all below it. */
    public String explained() {
        return DeepRecursion.run(() -> CostEstimator.explained(tree, types, scope));
    }

    /** Evaluates it by the reference; {@code names}: the value of a name, or null. Above its budget it ends in an error. */
    public Outcome evaluate(Function<String, Object> names) {
        CostCounter counter = new CostCounter(budget);
        Object v = new Evaluator(names, patterns, counter).value(tree);
        return new Outcome(v, counter.count());
    }
}
