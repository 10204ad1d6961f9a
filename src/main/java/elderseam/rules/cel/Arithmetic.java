package elderseam.rules.cel;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;

/** {@code + - * / %}: whole numbers overflow into errors, never around. */
final class Arithmetic {
    private Arithmetic() {}

    static Object of(String f, Object x, Object y) {
        char sign = f.charAt(0);
        try {
            if (x instanceof Long a && y instanceof Long b) {
                return ints(sign, a, b);
            }
            if (x instanceof UnsignedLong a && y instanceof UnsignedLong b) {
                return uints(sign, a.bits(), b.bits());
            }
            if (x instanceof Double a && y instanceof Double b) {
                return switch (sign) {
                    case '+' -> a + b;
                    case '-' -> a - b;
                    case '*' -> a * b;
                    case '/' -> a / b;
                    default -> EvaluationError.NO_OVERLOAD;
                };
            }
            return sign == '+' ? plus(x, y) : sign == '-' ? minus(x, y) : EvaluationError.NO_OVERLOAD;
        } catch (ArithmeticException | java.time.DateTimeException e) {
            return EvaluationError.OVERFLOW;
        }
    }

    private static Object ints(char sign, long a, long b) {
        if ((sign == '/' || sign == '%') && b == 0) {
            return EvaluationError.BY_ZERO;
        }
        return switch (sign) {
            case '+' -> Math.addExact(a, b);
            case '-' -> Math.subtractExact(a, b);
            case '*' -> Math.multiplyExact(a, b);
            default ->
                a == Long.MIN_VALUE && b == -1
                        ? EvaluationError.OVERFLOW
                        : sign == '/' ? (Object) (a / b) : (Object) (a % b);
        };
    }

    private static Object uints(char sign, long a, long b) {
        if ((sign == '/' || sign == '%') && b == 0) {
            return EvaluationError.BY_ZERO;
        }
        return switch (sign) {
            case '+' -> Long.compareUnsigned(a + b, a) < 0 ? EvaluationError.OVERFLOW : new UnsignedLong(a + b);
            case '-' -> Long.compareUnsigned(a, b) < 0 ? EvaluationError.OVERFLOW : new UnsignedLong(a - b);
            case '*' ->
                a != 0 && Long.divideUnsigned(a * b, a) != b ? EvaluationError.OVERFLOW : new UnsignedLong(a * b);
            case '/' -> new UnsignedLong(Long.divideUnsigned(a, b));
            default -> new UnsignedLong(Long.remainderUnsigned(a, b));
        };
    }

    private static Object plus(Object x, Object y) {
        if (x instanceof String a && y instanceof String b) {
            return a.concat(b);
        }
        if (x instanceof List<?> a && y instanceof List<?> b) {
            return Functions.joined(a, b);
        }
        if (x instanceof ByteSequence a && y instanceof ByteSequence b) {
            byte[] all = Arrays.copyOf(a.octets, a.octets.length + b.octets.length);
            System.arraycopy(b.octets, 0, all, a.octets.length, b.octets.length);
            return new ByteSequence(all);
        }
        if ((x instanceof Instant && y instanceof Duration) || (y instanceof Instant && x instanceof Duration)) {
            return x instanceof Instant t
                    ? Functions.inRange(t.plus((Duration) y))
                    : Functions.inRange(((Instant) y).plus((Duration) x));
        }
        return x instanceof Duration a && y instanceof Duration b
                ? Functions.inRange(a.plus(b))
                : EvaluationError.NO_OVERLOAD;
    }

    private static Object minus(Object x, Object y) {
        if (x instanceof Instant a && y instanceof Instant b) {
            return Functions.inRange(Duration.between(b, a));
        }
        if (x instanceof Instant a && y instanceof Duration b) {
            return Functions.inRange(a.minus(b));
        }
        return x instanceof Duration a && y instanceof Duration b
                ? Functions.inRange(a.minus(b))
                : EvaluationError.NO_OVERLOAD;
    }
}
