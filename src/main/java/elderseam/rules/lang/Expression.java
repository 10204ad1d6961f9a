package elderseam.rules.lang;

import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** An expression that was read, typed and bounded; to be evaluated any number of times. */
public final class Expression {
    /** An expression, or every fault that it has. */
    public record Compiled(Expression expression, List<Fault> faults) {}

    /** A value, or an {@link Err}, and what it cost. */
    public record Outcome(Object value, long cost) {}

    private final Ast tree;
    private final Type type;
    private final long bound, budget;
    private final Map<Ast, Pattern> patterns = new IdentityHashMap<>();

    private Expression(Ast tree, Type type, long bound, long budget) {
        this.tree = tree;
        this.type = type;
        this.bound = bound;
        this.budget = budget;
        List<Ast> all = new ArrayList<>(List.of(tree));
        for (int i = 0; i < all.size(); i++) {
            all.addAll(Ast.below(all.get(i)));
            if (all.get(i) instanceof Ast.Call c && c.function().equals("matches")) {
                patterns.put(c, Functions.pattern((String) ((Ast.Literal) c.args().get(1)).value()));
            }
        }
    }

    /** Reads one; {@code asked}: what it is to give; {@code budget}: units that it may cost at the most. */
    public static Compiled compile(String text, Scope scope, Type asked, long budget) {
        try {
            Ast tree = Parser.parse(text);
            Type type = Checker.check(text, tree, scope, asked).get(tree);
            return new Compiled(new Expression(tree, type, Bounds.of(text, tree, scope, budget), budget), List.of());
        } catch (FaultException e) {
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

    /** Evaluates it; {@code names}: the value of a name, or null. Above its budget it ends in an error. */
    public Outcome evaluate(Function<String, Object> names) {
        Counter counter = new Counter(budget);
        Object v = new Evaluator(names, patterns, counter).value(tree);
        return new Outcome(v, counter.count());
    }
}
