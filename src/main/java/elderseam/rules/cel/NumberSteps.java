package elderseam.rules.cel;

/** Steps of arithmetic and comparisons of ints and doubles, unboxed. None evaluates its second operand if the first one failed. */
final class NumberSteps {
    private static final int LESS = -1;
    private static final int EQUAL = 0;
    private static final int GREATER = 1;
    /** The order of NaN and any number. */
    private static final int UNORDERED = 2;

    private NumberSteps() {}

    // ---------------------------------------------------------------- ints

    /** A comparison by an operator {@code == != < <= > >=}. */
    static BoolStep compareInts(String operator, IntStep left, IntStep right) {
        return switch (operator) {
            case Operators.EQUALS -> inputs -> order(inputs, left, right) == 0;
            case Operators.NOT_EQUALS -> inputs -> order(inputs, left, right) != 0;
            case Operators.LESS -> inputs -> order(inputs, left, right) < 0;
            case Operators.LESS_EQUALS -> inputs -> order(inputs, left, right) <= 0;
            case Operators.GREATER -> inputs -> order(inputs, left, right) > 0;
            default -> inputs -> order(inputs, left, right) >= 0;
        };
    }

    private static int order(EvaluationInputs inputs, IntStep left, IntStep right) {
        long leftValue = left.evaluate(inputs);
        return inputs.error != null ? EQUAL : Long.compare(leftValue, right.evaluate(inputs));
    }

    /** Arithmetic by an operator {@code + - * / %}; fails where the result overflows. */
    static IntStep intArithmetic(char operator, IntStep left, IntStep right) {
        return inputs -> {
            long x = left.evaluate(inputs);
            long y = inputs.error != null ? 0 : right.evaluate(inputs);
            if (inputs.error != null) {
                return 0;
            }
            return switch (operator) {
                case '+' -> {
                    long sum = x + y;
                    boolean overflows = ((x ^ sum) & (y ^ sum)) < 0;
                    yield overflows ? fail(inputs, EvaluationError.OVERFLOW) : sum;
                }
                case '-' -> {
                    long difference = x - y;
                    boolean overflows = ((x ^ y) & (x ^ difference)) < 0;
                    yield overflows ? fail(inputs, EvaluationError.OVERFLOW) : difference;
                }
                case '*' -> {
                    long product = x * y;
                    boolean overflows = Math.multiplyHigh(x, y) != product >> 63;
                    yield overflows ? fail(inputs, EvaluationError.OVERFLOW) : product;
                }
                default -> {
                    if (y == 0) {
                        yield fail(inputs, EvaluationError.DIVISION_BY_ZERO);
                    }
                    if (y == -1 && x == Long.MIN_VALUE) {
                        yield fail(inputs, EvaluationError.OVERFLOW);
                    }
                    yield operator == '/' ? x / y : x % y;
                }
            };
        };
    }

    private static long fail(EvaluationInputs inputs, EvaluationError error) {
        inputs.fail(error);
        return 0;
    }

    /** The same value, boxed. */
    static ValueStep boxed(IntStep step) {
        return inputs -> {
            long value = step.evaluate(inputs);
            return inputs.error != null ? null : (Object) value;
        };
    }

    // ---------------------------------------------------------------- doubles

    /** A comparison by an operator {@code == != < <= > >=}. */
    static BoolStep compareDoubles(String operator, DoubleStep left, DoubleStep right) {
        return switch (operator) {
            case Operators.EQUALS -> inputs -> isOrderBetween(inputs, left, right, EQUAL, EQUAL);
            case Operators.NOT_EQUALS -> inputs -> !isOrderBetween(inputs, left, right, EQUAL, EQUAL);
            case Operators.LESS -> inputs -> isOrderBetween(inputs, left, right, LESS, LESS);
            case Operators.LESS_EQUALS -> inputs -> isOrderBetween(inputs, left, right, LESS, EQUAL);
            case Operators.GREATER -> inputs -> isOrderBetween(inputs, left, right, GREATER, GREATER);
            default -> inputs -> isOrderBetween(inputs, left, right, EQUAL, GREATER);
        };
    }

    private static boolean isOrderBetween(
            EvaluationInputs inputs, DoubleStep left, DoubleStep right, int least, int most) {
        double x = left.evaluate(inputs);
        double y = second(inputs, right);
        int order = x < y ? LESS : x > y ? GREATER : x == y ? EQUAL : UNORDERED;
        return order >= least && order <= most;
    }

    /** Arithmetic by an operator {@code + - * /}. */
    static DoubleStep doubleArithmetic(char operator, DoubleStep left, DoubleStep right) {
        return switch (operator) {
            case '+' -> inputs -> left.evaluate(inputs) + second(inputs, right);
            case '-' -> inputs -> left.evaluate(inputs) - second(inputs, right);
            case '*' -> inputs -> left.evaluate(inputs) * second(inputs, right);
            default -> inputs -> left.evaluate(inputs) / second(inputs, right);
        };
    }

    /** The second operand; 0 if the first one failed, so that no step runs on top of an error that a later {@code ||} would absorb. */
    private static double second(EvaluationInputs inputs, DoubleStep operand) {
        return inputs.error != null ? 0 : operand.evaluate(inputs);
    }
}
