package elderseam.rules.cel;

import java.math.BigDecimal;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

/** Equality and order of values. Numbers of all kinds compare by their mathematical value (CEL specification, "Numeric Values"). */
final class Comparisons {
    /** The result of a comparison with NaN, which is neither less than, equal to, nor greater than any number. */
    private static final int UNORDERED = -2;

    private Comparisons() {}

    static boolean isNumber(Object value) {
        return value instanceof Long || value instanceof UnsignedLong || value instanceof Double;
    }

    /** -1, 0 or 1 as the first number is less than, equal to, or greater than the second; {@link #UNORDERED} if one is NaN. */
    private static int compareNumbers(Object first, Object second) {
        if (first instanceof Long left && second instanceof Long right) {
            return Long.compare(left, right);
        }
        if ((first instanceof Double left && left.isNaN()) || (second instanceof Double right && right.isNaN())) {
            return UNORDERED;
        }
        if (first instanceof Double left && second instanceof Double right) {
            return left < right ? -1 : left > right ? 1 : 0; // the two zeros are equal
        }
        if (first instanceof Double left && left.isInfinite()) {
            return left > 0 ? 1 : -1;
        }
        if (second instanceof Double right && right.isInfinite()) {
            return right > 0 ? -1 : 1;
        }
        return Integer.signum(exact(first).compareTo(exact(second)));
    }

    /** The exact value of a finite number. */
    static BigDecimal exact(Object number) {
        return number instanceof Double real ? new BigDecimal(real) : new BigDecimal(number.toString());
    }

    static boolean isEqualNumber(Object first, Object second) {
        return compareNumbers(first, second) == 0;
    }

    /** Whether a number is an index of a list of that size, whatever its kind: 1.0 is, 1.5 isn't. */
    static boolean isIndex(Object number, int size) {
        return compareNumbers(number, 0L) >= 0
                && compareNumbers(number, (long) size) < 0
                && isEqualNumber(number, toLong(number));
    }

    /** A number as a long, where it fits. */
    static long toLong(Object number) {
        if (number instanceof Long value) {
            return value;
        }
        return number instanceof UnsignedLong value ? value.bits() : ((Double) number).longValue();
    }

    /** Whether two values are equal, lists and maps item by item. False with a counter that is over its budget. */
    static boolean equal(Object first, Object second, CostCounter counter) {
        counter.charge(1);
        if (counter.isOverBudget()) {
            return false;
        }
        if (isNumber(first) && isNumber(second)) {
            return isEqualNumber(first, second);
        }
        if (first instanceof List<?> left && second instanceof List<?> right) {
            return equalLists(left, right, counter);
        }
        if (first instanceof Map<?, ?> left && second instanceof Map<?, ?> right) {
            return equalMaps(left, right, counter);
        }
        if (first instanceof String string) {
            counter.charge(string.length() / ValueSize.CHARS_PER_UNIT);
        } else if (first instanceof ByteSequence bytes) {
            counter.charge(bytes.length() / ValueSize.CHARS_PER_UNIT);
        }
        return first.equals(second);
    }

    private static boolean equalLists(List<?> left, List<?> right, CostCounter counter) {
        if (left.size() != right.size()) {
            return false;
        }
        for (int i = 0; i < left.size(); i++) {
            if (!equal(left.get(i), right.get(i), counter)) {
                return false;
            }
        }
        return true;
    }

    private static boolean equalMaps(Map<?, ?> left, Map<?, ?> right, CostCounter counter) {
        if (left.size() != right.size()) {
            return false;
        }
        for (Map.Entry<?, ?> entry : left.entrySet()) {
            Object other = CollectionFunctions.lookup(right, entry.getKey());
            if (other == null || !equal(entry.getValue(), other, counter)) {
                return false;
            }
        }
        return true;
    }

    /** The result of an operator {@code < <= > >=}; an error for types that have no common order. */
    static Object order(String operator, Object first, Object second) {
        int order;
        if (isNumber(first) && isNumber(second)) {
            order = compareNumbers(first, second);
            if (order == UNORDERED) {
                return false;
            }
        } else if (first instanceof String left && second instanceof String right) {
            order = compareCodePoints(left, right);
        } else if (first instanceof Boolean left && second instanceof Boolean right) {
            order = left.compareTo(right);
        } else if (first instanceof ByteSequence left && second instanceof ByteSequence right) {
            order = left.compareTo(right);
        } else if (first instanceof Instant left && second instanceof Instant right) {
            order = left.compareTo(right);
        } else if (first instanceof Duration left && second instanceof Duration right) {
            order = left.compareTo(right);
        } else {
            return EvaluationError.NO_SUCH_OVERLOAD;
        }
        boolean isLess = operator.charAt(0) == '<';
        boolean orEquals = operator.length() == 2;
        return order == 0 ? orEquals : isLess == (order < 0);
    }

    /** The order of two strings by code points; {@link String#compareTo} compares the surrogates of those beyond 16 bits. */
    private static int compareCodePoints(String left, String right) {
        int index = 0;
        while (index < left.length() && index < right.length() && left.charAt(index) == right.charAt(index)) {
            index++;
        }
        if (index == left.length() || index == right.length()) {
            return left.length() - right.length();
        }
        boolean isLeftBeyond = Character.isSurrogate(left.charAt(index));
        boolean isRightBeyond = Character.isSurrogate(right.charAt(index));
        if (isLeftBeyond == isRightBeyond) {
            return left.charAt(index) - right.charAt(index);
        }
        return isLeftBeyond ? 1 : -1;
    }
}
