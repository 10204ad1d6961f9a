package elderseam.rules.cel;

import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/** An expression that was parsed, type-checked and bounded in cost. Immutable. */
public final class Expression {
    /**
     * The result of {@link #compile}.
     *
     * @param expression null if there are faults
     * @param faults all that were found; empty if there is an expression
     */
    public record Compiled(Expression expression, List<ExpressionFault> faults) {}

    /**
     * The result of {@link #evaluate}.
     *
     * @param value the value, or an {@link EvaluationError}
     * @param cost units that the evaluation cost
     */
    public record Outcome(Object value, long cost) {}

    private final String text;
    private final Ast tree;
    private final Map<Ast, Type> types;
    private final Scope scope;
    private final long bound;
    private final long budget;
    private final IdentityHashMap<Ast, Pattern> patterns = new IdentityHashMap<>();

    private Expression(String text, Ast tree, Map<Ast, Type> types, Scope scope, long bound, long budget) {
        this.text = text;
        this.tree = tree;
        this.types = types;
        this.scope = scope;
        this.bound = bound;
        this.budget = budget;
        for (Ast node : Ast.nodes(tree)) {
            if (node instanceof Ast.Call call && call.is(Functions.MATCHES)) {
                String pattern = (String) ((Ast.Literal) call.argument(1)).value();
                patterns.put(call, Functions.pattern(pattern));
            }
        }
    }

    /**
     * Parses, checks and bounds an expression.
     *
     * @param scope the names that it may use; fields of open names that it selects are declared there
     * @param expected the type that it is to give; {@code DYN} for any
     * @param budget most units that it may cost
     */
    public static Compiled compile(String text, Scope scope, Type expected, long budget) {
        return DeepRecursion.run(() -> compileHere(text, scope, expected, budget));
    }

    private static Compiled compileHere(String text, Scope scope, Type expected, long budget) {
        try {
            Ast tree = NameResolver.resolve(Parser.parse(text), scope);
            Map<Ast, Type> types = Checker.check(text, tree, scope, expected);
            long bound = CostEstimator.maxCost(text, tree, scope, budget);
            return new Compiled(new Expression(text, tree, types, scope, bound, budget), List.of());
        } catch (ExpressionException e) {
            return new Compiled(null, e.faults());
        }
    }

    /** The type of its values. */
    public Type type() {
        return types.get(tree);
    }

    /** Most units that an evaluation costs while its inputs are as large as declared. */
    public long bound() {
        return bound;
    }

    /** Compiles the expression to steps; each call makes a new program. */
    public Program program() {
        return DeepRecursion.run(() -> Planner.plan(tree, types, scope, patterns, budget));
    }

    /** The text that it was parsed from. */
    public String text() {
        return text;
    }

    /** The names of the scope that it uses, sorted. */
    public Set<String> names() {
        Set<String> names = new TreeSet<>();
        for (Ast node : Ast.nodes(tree)) {
            if (node instanceof Ast.Identifier identifier && scope.get(identifier.name()) != null) {
                names.add(identifier.name());
            }
        }
        return names;
    }

    /**
     * The values that it may have, if they are known before evaluation: it must be a literal, or {@code ?:} of literals.
     *
     * @return null if they aren't known
     */
    public List<Object> outcomes() {
        List<Object> outcomes = new ArrayList<>();
        return addOutcomes(tree, outcomes) ? outcomes : null;
    }

    /** Adds the values that a node may have; false if they aren't known. */
    private static boolean addOutcomes(Ast node, List<Object> outcomes) {
        if (node instanceof Ast.Literal literal) {
            return outcomes.add(literal.value());
        }
        if (!(node instanceof Ast.Call call)) {
            return false;
        }
        if (call.is(Operators.CONDITIONAL)) {
            return addOutcomes(call.argument(1), outcomes) && addOutcomes(call.argument(2), outcomes);
        }
        Optional<Object> time = constantTime(call);
        time.ifPresent(outcomes::add);
        return time.isPresent();
    }

    /** The value of a duration or a timestamp that is written as a string literal; empty for other calls. */
    private static Optional<Object> constantTime(Ast.Call call) {
        boolean hasStringLiteral = call.arguments().size() == 1
                && call.argument(0) instanceof Ast.Literal literal
                && literal.value() instanceof String;
        if (!hasStringLiteral) {
            return Optional.empty();
        }
        String literal = (String) ((Ast.Literal) call.argument(0)).value();
        if (call.is("timestamp")) {
            return Optional.of(TimeFunctions.timestamp(literal));
        }
        return call.is("duration") ? TimeFunctions.duration(literal).map(Object.class::cast) : Optional.empty();
    }

    /** The checked tree, a line for each node: what it is, its type, and the most that it may cost with all below it. */
    public String explain() {
        return DeepRecursion.run(() -> TreePrinter.print(tree, types, CostEstimator.costs(tree, scope)));
    }

    /**
     * Evaluates it by the reference implementation. Above its budget it ends in an error.
     *
     * @param names gives the value of a name; null for none, or an {@link EvaluationError}
     */
    public Outcome evaluate(Function<String, Object> names) {
        CostCounter counter = new CostCounter(budget);
        Object value = new Evaluator(names, patterns, counter).evaluate(tree);
        return new Outcome(value, counter.cost());
    }
}
