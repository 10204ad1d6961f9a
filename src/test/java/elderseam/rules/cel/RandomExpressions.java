package elderseam.rules.cel;

import java.util.List;
import java.util.Random;

/** Expressions made up at random, well typed, over the names i, u, d, b, s, t, p (int, uint, double, bool, string, time, period), l, w, m. */
final class RandomExpressions {
    static final List<String> TYPES =
            List.of("bool", "int", "uint", "double", "string", "list", "words", "time", "period");
    private final Random r;
    private int variables;

    RandomExpressions(Random r) {
        this.r = r;
    }

    String of(String type, int depth) {
        if (depth <= 0 || r.nextInt(7) == 0) {
            return leaf(type);
        }
        int d = depth - 1;
        if (r.nextInt(9) == 0) {
            return "(" + of("bool", d) + " ? " + of(type, d) + " : " + of(type, d) + ")";
        }
        return switch (type) {
            case "bool" -> bool(d);
            case "int" -> whole(d);
            case "uint" ->
                r.nextInt(4) == 0
                        ? "uint(" + of("int", d) + ")"
                        : "(" + of("uint", d) + " " + "+-*/%".charAt(r.nextInt(5)) + " " + of("uint", d) + ")";
            case "double" ->
                r.nextInt(4) == 0
                        ? "double(" + of("int", d) + ")"
                        : "(" + of("double", d) + " " + "+-*/".charAt(r.nextInt(4)) + " " + of("double", d) + ")";
            case "string" ->
                switch (r.nextInt(4)) {
                    case 0 -> "string(" + of("int", d) + ")";
                    case 1 -> of("words", d) + "[" + of("int", d) + "]";
                    default -> "(" + of("string", d) + " + " + of("string", d) + ")";
                };
            case "list" -> list(d, "int");
            case "words" -> list(d, "string");
            case "time" -> "(" + of("time", d) + (r.nextBoolean() ? " + " : " - ") + of("period", d) + ")";
            default ->
                r.nextInt(3) == 0
                        ? "(" + of("time", d) + " - " + of("time", d) + ")"
                        : "(" + of("period", d) + " + " + of("period", d) + ")";
        };
    }

    private String leaf(String type) {
        return switch (type) {
            case "bool" -> List.of("b", "true", "false", "(i > 3)").get(r.nextInt(4));
            case "int" ->
                List.of("i", "0", "7", "-3", "9223372036854775807", "m.a", "m['b']")
                        .get(r.nextInt(7));
            case "uint" -> List.of("u", "0u", "5u", "18446744073709551615u").get(r.nextInt(4));
            case "double" -> List.of("d", "0.0", "1.5", "-2.25", "1e300").get(r.nextInt(5));
            case "string" ->
                List.of("s", "''", "'abc'", "'äöü'", "'12'", "w[0]").get(r.nextInt(6));
            case "list" -> List.of("l", "[]", "[1, 2, 3]").get(r.nextInt(3));
            case "words" -> List.of("w", "['abc', s]", "['rent', 'fee']").get(r.nextInt(3));
            case "time" -> List.of("t", "timestamp('2026-12-31T23:30:00Z')").get(r.nextInt(2));
            default -> List.of("p", "duration('90m')", "duration('-2s')").get(r.nextInt(3));
        };
    }

    private String whole(int d) {
        return switch (r.nextInt(8)) {
            case 0 -> "size(" + of(List.of("list", "string", "words").get(r.nextInt(3)), d) + ")";
            case 1 -> of("list", d) + "[" + of("int", d) + "]";
            case 2 -> "int(" + of(List.of("string", "uint").get(r.nextInt(2)), d) + ")";
            case 3 ->
                of("time", d) + "."
                        + List.of("getFullYear", "getMonth", "getDate", "getDayOfWeek", "getHours")
                                .get(r.nextInt(5)) + "()";
            case 4 -> "-(" + of("int", d) + ")";
            default -> "(" + of("int", d) + " " + "+-*/%".charAt(r.nextInt(5)) + " " + of("int", d) + ")";
        };
    }

    private String list(int d, String item) {
        String type = item.equals("int") ? "list" : "words", v = "v" + variables++;
        return switch (r.nextInt(4)) {
            case 0 -> of(type, d) + ".filter(" + v + ", " + of("bool", d) + ")";
            case 1 ->
                item.equals("int")
                        ? of("list", d) + ".map(" + v + ", " + v + " + " + of("int", d) + ")"
                        : of("words", d) + ".map(" + v + ", " + v + " + " + of("string", d) + ")";
            case 2 -> "[" + of(item, d) + ", " + of(item, d) + "]";
            default -> "(" + of(type, d) + " + " + of(type, d) + ")";
        };
    }

    private String bool(int d) {
        String v = "v" + variables++,
                order = List.of("==", "<", "!=", ">=", ">", "<=").get(r.nextInt(6));
        return switch (r.nextInt(13)) {
            case 0, 1 -> "(" + of("bool", d) + " && " + of("bool", d) + ")";
            case 2, 3 -> "(" + of("bool", d) + " || " + of("bool", d) + ")";
            case 4 -> "!" + of("bool", d);
            case 5 ->
                of("string", d) + "."
                        + List.of("contains", "startsWith", "endsWith").get(r.nextInt(3)) + "(" + of("string", d) + ")";
            case 6 -> of("string", d) + ".matches('a+b*|[äc]')";
            case 7 -> "(" + of("int", d) + " in " + of("list", d) + ")";
            case 8 -> "(" + of("string", d) + " in " + of("words", d) + ")";
            case 9 ->
                of("list", d) + "." + List.of("all", "exists", "exists_one").get(r.nextInt(3)) + "(" + v + ", " + v
                        + " < " + of("int", d) + ")";
            case 10 -> "(" + of("list", d) + " == " + of("list", d) + ")";
            case 11 ->
                List.of("has(m.a)", "has(m.z)", "('a' in m)", "m.exists(k, m[k] > i)")
                        .get(r.nextInt(4));
            default -> {
                String type = List.of("int", "uint", "double", "string", "time", "period")
                        .get(r.nextInt(6));
                yield "(" + of(type, d) + " " + order + " " + of(type, d) + ")";
            }
        };
    }
}
