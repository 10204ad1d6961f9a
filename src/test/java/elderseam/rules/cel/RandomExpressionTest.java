package elderseam.rules.cel;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Expressions made up at random, most of them well typed: the count is never above the bound, and nothing is thrown. */
class RandomExpressionTest {
    private static final Scope SCOPE = new Scope()
            .name("i", Type.Plain.INT, ValueSize.ONE)
            .name("s", Type.Plain.STRING, ValueSize.text(40))
            .name("l", new Type.ListType(Type.Plain.INT), ValueSize.list(5, ValueSize.ONE))
            .name("w", new Type.ListType(Type.Plain.STRING), ValueSize.list(4, ValueSize.text(20)));

    private static String any(Random r, String type, int depth) {
        String leaf = switch (type) {
            case "int" -> List.of("i", "0", "7", "-3", "9223372036854775807").get(r.nextInt(5));
            case "string" -> List.of("s", "''", "'abc'", "'äöü'").get(r.nextInt(4));
            case "list" -> List.of("l", "[]", "[1, 2, 3]").get(r.nextInt(3));
            default -> List.of("true", "false", "(i > 3)").get(r.nextInt(3));
        };
        if (depth == 0 || r.nextInt(6) == 0) {
            return leaf;
        }
        int d = depth - 1;
        return switch (type) {
            case "int" ->
                switch (r.nextInt(6)) {
                    case 0 -> "size(" + any(r, r.nextBoolean() ? "list" : "string", d) + ")";
                    case 1 -> "(" + any(r, "bool", d) + " ? " + any(r, "int", d) + " : " + any(r, "int", d) + ")";
                    case 2 -> any(r, "list", d) + "[" + any(r, "int", d) + "]";
                    case 3 -> "int(" + any(r, "string", d) + ")";
                    default ->
                        "(" + any(r, "int", d) + " " + "+-*/%".charAt(r.nextInt(5)) + " " + any(r, "int", d) + ")";
                };
            case "string" ->
                switch (r.nextInt(3)) {
                    case 0 -> "string(" + any(r, "int", d) + ")";
                    case 1 -> "w[" + any(r, "int", d) + "]";
                    default -> "(" + any(r, "string", d) + " + " + any(r, "string", d) + ")";
                };
            case "list" ->
                switch (r.nextInt(4)) {
                    case 0 -> any(r, "list", d) + ".filter(v" + d + ", " + any(r, "bool", d) + ")";
                    case 1 -> any(r, "list", d) + ".map(v" + d + ", v" + d + " + " + any(r, "int", d) + ")";
                    case 2 -> "[" + any(r, "int", d) + ", " + any(r, "int", d) + "]";
                    default -> "(" + any(r, "list", d) + " + " + any(r, "list", d) + ")";
                };
            default ->
                switch (r.nextInt(9)) {
                    case 0 -> "(" + any(r, "bool", d) + " && " + any(r, "bool", d) + ")";
                    case 1 -> "(" + any(r, "bool", d) + " || " + any(r, "bool", d) + ")";
                    case 2 -> "!" + any(r, "bool", d);
                    case 3 ->
                        any(r, "string", d) + "."
                                + List.of("contains", "startsWith", "endsWith").get(r.nextInt(3)) + "("
                                + any(r, "string", d) + ")";
                    case 4 -> any(r, "string", d) + ".matches('a+b*|[äc]')";
                    case 5 -> "(" + any(r, "int", d) + " in " + any(r, "list", d) + ")";
                    case 6 ->
                        any(r, "list", d) + "."
                                + List.of("all", "exists", "exists_one").get(r.nextInt(3)) + "(v" + d + ", v" + d
                                + " < " + any(r, "int", d) + ")";
                    case 7 -> "(" + any(r, "list", d) + " == " + any(r, "list", d) + ")";
                    default ->
                        "(" + any(r, "string", d) + " "
                                + List.of("==", "<", "!=", ">=").get(r.nextInt(4)) + " " + any(r, "string", d) + ")";
                };
        };
    }

    @Property(tries = 2_000, seed = "20261130")
    void theCountStaysBelowTheBound(@ForAll long seed) {
        Random r = new Random(seed);
        String text = any(r, "bool", 1 + r.nextInt(5));
        Expression.Compiled c = Expression.compile(text, SCOPE, Type.Plain.BOOL, 1L << 40);
        assertTrue(
                c.expression() != null || c.faults().get(0).words().contains("may cost"),
                () -> text + "\n" + c.faults().get(0).shown());
        if (c.expression() == null || c.expression().bound() > 5_000_000) {
            return;
        }
        List<Object> l = new ArrayList<>(), w = new ArrayList<>();
        r.longs(r.nextInt(6), -5, 9).forEach(l::add);
        for (int n = r.nextInt(5); n > 0; n--) {
            w.add("aäb".repeat(r.nextInt(7)));
        }
        Map<String, Object> values =
                Map.of("i", (long) r.nextInt(9), "s", "abcä".repeat(r.nextInt(11)), "l", l, "w", w);
        Expression.Outcome o = c.expression().evaluate(values::get);
        assertTrue(
                o.cost() <= c.expression().bound(),
                () -> text + ": cost " + o.cost() + ", bound " + c.expression().bound());
        assertTrue(o.value() instanceof Boolean || o.value() instanceof EvaluationError, () -> text + ": " + o.value());
    }

    /** Whatever characters come: a fault or an expression. */
    @Property(tries = 2_000, seed = "20261130")
    void anyTextIsAFaultOrAnExpression(@ForAll long seed) {
        Random r = new Random(seed);
        String alphabet = "is l w(){}[].,?:+-*/%!<>=&|'\"\\01ue x\n\tr b in true matches all";
        StringBuilder text = new StringBuilder();
        for (int n = r.nextInt(60); n > 0; n--) {
            text.append(alphabet.charAt(r.nextInt(alphabet.length())));
        }
        Expression.Compiled c = Expression.compile(text.toString(), SCOPE, Type.Plain.DYN, 1_000_000);
        if (c.expression() == null) {
            c.faults()
                    .forEach(f -> assertTrue(
                            f.shown().lines().count() >= 2 && f.column() >= 1 && f.line() >= 1, () -> f + ""));
        }
    }
}
