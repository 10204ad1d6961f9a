package elderseam.rules.cel;

import com.google.re2j.Pattern;
import java.util.List;
import java.util.Map;

/**
 * The library of functions and operators, by name and on boxed values. Errors are returned as {@link EvaluationError}. What compares
 * items one by one charges them to the counter; the cost of all else is charged by the caller (see {@link CostModel}).
 */
final class Functions {
    /** The function whose pattern is a literal, compiled once; its callers match instead of calling here. */
    static final String MATCHES = "matches";

    /** What the names of all functions begin with that give a part of a timestamp or a duration. */
    private static final String TIME_ACCESSOR_PREFIX = "get";

    private Functions() {}

    /** Whether a function gives a part of a timestamp or a duration. */
    static boolean isTimeAccessor(String function) {
        return function.startsWith(TIME_ACCESSOR_PREFIX);
    }

    /** A pattern for {@link #MATCHES}, matched in linear time (RE2). */
    static Pattern pattern(String text) {
        return Pattern.compile(text);
    }

    /** Calls a function with as many arguments as one of its overloads takes, of any types. */
    static Object call(String function, Object[] arguments, CostCounter counter) {
        Object first = arguments[0];
        return switch (function) {
            case Operators.EQUALS -> Comparisons.equal(first, arguments[1], counter);
            case Operators.NOT_EQUALS -> !Comparisons.equal(first, arguments[1], counter);
            case Operators.LESS, Operators.LESS_EQUALS, Operators.GREATER, Operators.GREATER_EQUALS ->
                Comparisons.order(function, first, arguments[1]);
            case Operators.ADD, Operators.SUBTRACT, Operators.MULTIPLY, Operators.DIVIDE, Operators.MODULO ->
                Arithmetic.apply(function, first, arguments[1]);
            case Operators.NEGATE -> Arithmetic.negate(first);
            case Operators.LOGICAL_NOT ->
                first instanceof Boolean bool ? (Object) !bool : EvaluationError.NO_SUCH_OVERLOAD;
            case Operators.IN -> CollectionFunctions.contains(arguments[1], first, counter);
            case Operators.INDEX -> CollectionFunctions.index(first, arguments[1]);
            case "size" -> size(first);
            case "startsWith", "endsWith", "contains" -> testText(function, first, arguments[1]);
            case "dyn" -> first;
            default ->
                isTimeAccessor(function)
                        ? TimeFunctions.access(function, arguments)
                        : Conversions.convert(function, first);
        };
    }

    private static Object size(Object value) {
        if (value instanceof String string) {
            return (long) string.codePointCount(0, string.length());
        }
        if (value instanceof ByteSequence bytes) {
            return (long) bytes.length();
        }
        if (value instanceof List<?> list) {
            return (long) list.size();
        }
        return value instanceof Map<?, ?> map ? (Object) (long) map.size() : EvaluationError.NO_SUCH_OVERLOAD;
    }

    private static Object testText(String function, Object value, Object argument) {
        if (!(value instanceof String text) || !(argument instanceof String part)) {
            return EvaluationError.NO_SUCH_OVERLOAD;
        }
        return switch (function) {
            case "startsWith" -> text.startsWith(part);
            case "endsWith" -> text.endsWith(part);
            default -> text.contains(part);
        };
    }
}
