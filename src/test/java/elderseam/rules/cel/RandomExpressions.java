package elderseam.rules.cel;

import java.util.Random;

/** Generates well-typed expressions over the names of {@link RandomInputs}. The same random numbers give the same expressions. */
final class RandomExpressions {
    /** What an expression gives. */
    enum Kind {
        BOOL,
        INT,
        UINT,
        DOUBLE,
        STRING,
        INT_LIST,
        STRING_LIST,
        TIMESTAMP,
        DURATION
    }

    private final Random random;
    private int variables;

    RandomExpressions(Random random) {
        this.random = random;
    }

    /** An expression of any kind, with 1 to so many levels below it. */
    String nextOfAnyKind(int maxDepth) {
        Kind kind = choose(Kind.values());
        return next(kind, 1 + random.nextInt(maxDepth));
    }

    /** An expression of a kind, with at most so many levels below it. */
    String next(Kind kind, int maxDepth) {
        if (maxDepth <= 0 || random.nextInt(7) == 0) {
            return leaf(kind);
        }
        int depth = maxDepth - 1;
        if (random.nextInt(9) == 0) {
            return "(" + next(Kind.BOOL, depth) + " ? " + next(kind, depth) + " : " + next(kind, depth) + ")";
        }
        return switch (kind) {
            case BOOL -> bool(depth);
            case INT -> integer(depth);
            case UINT ->
                random.nextInt(4) == 0 ? "uint(" + next(Kind.INT, depth) + ")" : arithmetic(kind, "+-*/%", depth);
            case DOUBLE ->
                random.nextInt(4) == 0 ? "double(" + next(Kind.INT, depth) + ")" : arithmetic(kind, "+-*/", depth);
            case STRING -> string(depth);
            case INT_LIST -> intList(depth);
            case STRING_LIST -> stringList(depth);
            case TIMESTAMP ->
                "(" + next(Kind.TIMESTAMP, depth) + (random.nextBoolean() ? " + " : " - ") + next(Kind.DURATION, depth)
                        + ")";
            case DURATION -> random.nextInt(3) == 0 ? binary(Kind.TIMESTAMP, "-", depth) : binary(kind, "+", depth);
        };
    }

    private String choose(String... texts) {
        return texts[random.nextInt(texts.length)];
    }

    private Kind choose(Kind... kinds) {
        return kinds[random.nextInt(kinds.length)];
    }

    private String newVariable() {
        String name = "v" + variables;
        variables++;
        return name;
    }

    /** A binary operator on two operands of one kind. */
    private String binary(Kind operands, String operator, int depth) {
        return "(" + next(operands, depth) + " " + operator + " " + next(operands, depth) + ")";
    }

    /** One of these operators on two operands of one kind. */
    private String arithmetic(Kind operands, String operators, int depth) {
        String left = next(operands, depth);
        char operator = operators.charAt(random.nextInt(operators.length()));
        return "(" + left + " " + operator + " " + next(operands, depth) + ")";
    }

    private String leaf(Kind kind) {
        return switch (kind) {
            case BOOL -> choose("b", "true", "false", "(i > 3)");
            case INT -> choose("i", "0", "7", "-3", "9223372036854775807", "m.a", "m['b']");
            case UINT -> choose("u", "0u", "5u", "18446744073709551615u");
            case DOUBLE -> choose("d", "0.0", "1.5", "-2.25", "1e300");
            case STRING -> choose("s", "''", "'abc'", "'äöü'", "'12'", "w[0]");
            case INT_LIST -> choose("l", "[]", "[1, 2, 3]");
            case STRING_LIST -> choose("w", "['abc', s]", "['rent', 'fee']");
            case TIMESTAMP -> choose("t", "timestamp('2026-12-31T23:30:00Z')");
            case DURATION -> choose("p", "duration('90m')", "duration('-2s')");
        };
    }

    private String integer(int depth) {
        return switch (random.nextInt(8)) {
            case 0 -> "size(" + next(choose(Kind.INT_LIST, Kind.STRING, Kind.STRING_LIST), depth) + ")";
            case 1 -> next(Kind.INT_LIST, depth) + "[" + next(Kind.INT, depth) + "]";
            case 2 -> "int(" + next(choose(Kind.STRING, Kind.UINT), depth) + ")";
            case 3 ->
                next(Kind.TIMESTAMP, depth) + "."
                        + choose("getFullYear", "getMonth", "getDate", "getDayOfWeek", "getHours") + "()";
            case 4 -> "-(" + next(Kind.INT, depth) + ")";
            default -> arithmetic(Kind.INT, "+-*/%", depth);
        };
    }

    private String string(int depth) {
        return switch (random.nextInt(4)) {
            case 0 -> "string(" + next(Kind.INT, depth) + ")";
            case 1 -> next(Kind.STRING_LIST, depth) + "[" + next(Kind.INT, depth) + "]";
            default -> binary(Kind.STRING, "+", depth);
        };
    }

    private String intList(int depth) {
        return list(Kind.INT_LIST, Kind.INT, depth);
    }

    private String stringList(int depth) {
        return list(Kind.STRING_LIST, Kind.STRING, depth);
    }

    private String list(Kind list, Kind item, int depth) {
        String variable = newVariable();
        return switch (random.nextInt(4)) {
            case 0 -> next(list, depth) + ".filter(" + variable + ", " + next(Kind.BOOL, depth) + ")";
            case 1 -> next(list, depth) + ".map(" + variable + ", " + variable + " + " + next(item, depth) + ")";
            case 2 -> "[" + next(item, depth) + ", " + next(item, depth) + "]";
            default -> binary(list, "+", depth);
        };
    }

    private String bool(int depth) {
        String variable = newVariable();
        String comparison = choose("==", "<", "!=", ">=", ">", "<=");
        return switch (random.nextInt(13)) {
            case 0, 1 -> binary(Kind.BOOL, "&&", depth);
            case 2, 3 -> binary(Kind.BOOL, "||", depth);
            case 4 -> "!" + next(Kind.BOOL, depth);
            case 5 ->
                next(Kind.STRING, depth) + "." + choose("contains", "startsWith", "endsWith") + "("
                        + next(Kind.STRING, depth) + ")";
            case 6 -> next(Kind.STRING, depth) + ".matches('a+b*|[äc]')";
            case 7 -> "(" + next(Kind.INT, depth) + " in " + next(Kind.INT_LIST, depth) + ")";
            case 8 -> "(" + next(Kind.STRING, depth) + " in " + next(Kind.STRING_LIST, depth) + ")";
            case 9 ->
                next(Kind.INT_LIST, depth) + "." + choose("all", "exists", "exists_one") + "(" + variable + ", "
                        + variable + " < " + next(Kind.INT, depth) + ")";
            case 10 -> binary(Kind.INT_LIST, "==", depth);
            case 11 -> choose("has(m.a)", "has(m.z)", "('a' in m)", "m.exists(k, m[k] > i)");
            default ->
                binary(
                        choose(Kind.INT, Kind.UINT, Kind.DOUBLE, Kind.STRING, Kind.TIMESTAMP, Kind.DURATION),
                        comparison,
                        depth);
        };
    }
}
