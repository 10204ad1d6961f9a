package elderseam.rules.cel;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;

/** The operators {@code + - * / %} on boxed values. Integers that overflow are errors; they never wrap around. */
final class Arithmetic {
    private Arithmetic() {}

    /** The result of a binary operator, or an error. */
    static Object apply(String operator, Object left, Object right) {
        char symbol = operator.charAt(0);
        try {
            if (left instanceof Long first && right instanceof Long second) {
                return ints(symbol, first, second);
            }
            if (left instanceof UnsignedLong first && right instanceof UnsignedLong second) {
                return uints(symbol, first.bits(), second.bits());
            }
            if (left instanceof Double first && right instanceof Double second) {
                return doubles(symbol, first, second);
            }
            return switch (symbol) {
                case '+' -> add(left, right);
                case '-' -> subtract(left, right);
                default -> EvaluationError.NO_SUCH_OVERLOAD;
            };
        } catch (ArithmeticException | DateTimeException e) {
            return EvaluationError.OVERFLOW;
        }
    }

    /** The negative of an int or a double, or an error. */
    static Object negate(Object value) {
        if (value instanceof Long number) {
            return number == Long.MIN_VALUE ? EvaluationError.OVERFLOW : (Object) (-number);
        }
        return value instanceof Double number ? (Object) (-number) : EvaluationError.NO_SUCH_OVERLOAD;
    }

    private static boolean isDivision(char symbol) {
        return symbol == '/' || symbol == '%';
    }

    private static Object ints(char symbol, long left, long right) {
        if (isDivision(symbol)) {
            if (right == 0) {
                return EvaluationError.DIVISION_BY_ZERO;
            }
            if (left == Long.MIN_VALUE && right == -1) {
                return EvaluationError.OVERFLOW;
            }
        }
        return switch (symbol) {
            case '+' -> Math.addExact(left, right);
            case '-' -> Math.subtractExact(left, right);
            case '*' -> Math.multiplyExact(left, right);
            case '/' -> left / right;
            default -> left % right;
        };
    }

    private static Object uints(char symbol, long left, long right) {
        if (isDivision(symbol) && right == 0) {
            return EvaluationError.DIVISION_BY_ZERO;
        }
        switch (symbol) {
            case '+' -> {
                boolean overflows = Long.compareUnsigned(left + right, left) < 0;
                return overflows ? EvaluationError.OVERFLOW : new UnsignedLong(left + right);
            }
            case '-' -> {
                boolean overflows = Long.compareUnsigned(left, right) < 0;
                return overflows ? EvaluationError.OVERFLOW : new UnsignedLong(left - right);
            }
            case '*' -> {
                boolean overflows = left != 0 && Long.divideUnsigned(left * right, left) != right;
                return overflows ? EvaluationError.OVERFLOW : new UnsignedLong(left * right);
            }
            case '/' -> {
                return new UnsignedLong(Long.divideUnsigned(left, right));
            }
            default -> {
                return new UnsignedLong(Long.remainderUnsigned(left, right));
            }
        }
    }

    private static Object doubles(char symbol, double left, double right) {
        return switch (symbol) {
            case '+' -> left + right;
            case '-' -> left - right;
            case '*' -> left * right;
            case '/' -> left / right;
            default -> EvaluationError.NO_SUCH_OVERLOAD;
        };
    }

    private static Object add(Object left, Object right) {
        if (left instanceof String first && right instanceof String second) {
            return first.concat(second);
        }
        if (left instanceof List<?> first && right instanceof List<?> second) {
            return CollectionFunctions.concatenate(first, second);
        }
        if (left instanceof ByteSequence first && right instanceof ByteSequence second) {
            return concatenate(first.octets, second.octets);
        }
        if (left instanceof Instant timestamp && right instanceof Duration duration) {
            return TimeFunctions.checkRange(timestamp.plus(duration));
        }
        if (left instanceof Duration duration && right instanceof Instant timestamp) {
            return TimeFunctions.checkRange(timestamp.plus(duration));
        }
        return left instanceof Duration first && right instanceof Duration second
                ? TimeFunctions.checkRange(first.plus(second))
                : EvaluationError.NO_SUCH_OVERLOAD;
    }

    private static ByteSequence concatenate(byte[] first, byte[] second) {
        byte[] octets = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, octets, first.length, second.length);
        return new ByteSequence(octets);
    }

    private static Object subtract(Object left, Object right) {
        if (left instanceof Instant end && right instanceof Instant start) {
            return TimeFunctions.checkRange(Duration.between(start, end));
        }
        if (left instanceof Instant timestamp && right instanceof Duration duration) {
            return TimeFunctions.checkRange(timestamp.minus(duration));
        }
        return left instanceof Duration first && right instanceof Duration second
                ? TimeFunctions.checkRange(first.minus(second))
                : EvaluationError.NO_SUCH_OVERLOAD;
    }
}
