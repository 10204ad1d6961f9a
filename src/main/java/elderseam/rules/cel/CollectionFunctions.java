package elderseam.rules.cel;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Functions of lists and maps. Numbers of all kinds are the same key or item if they are mathematically equal. */
final class CollectionFunctions {
    private static final int MAX_DIGITS_OF_64_BITS = 20;

    private CollectionFunctions() {}

    /** Whether a list has the item, or a map the key; an error for other collections. */
    static Object contains(Object collection, Object item, CostCounter counter) {
        if (collection instanceof Map<?, ?> map) {
            return lookup(map, item) != null;
        }
        if (!(collection instanceof List<?> list)) {
            return EvaluationError.NO_SUCH_OVERLOAD;
        }
        for (Object candidate : list) {
            if (Comparisons.equal(item, candidate, counter)) {
                return true;
            }
        }
        return false;
    }

    /** The item of a list at an index, or the value of a map for a key; or an error. */
    static Object index(Object collection, Object key) {
        if (collection instanceof Map<?, ?> map) {
            Object value = lookup(map, key);
            return value == null ? EvaluationError.NO_SUCH_KEY : value;
        }
        if (collection instanceof List<?> list && Comparisons.isNumber(key)) {
            return Comparisons.isIndex(key, list.size())
                    ? list.get((int) Comparisons.toLong(key))
                    : EvaluationError.INDEX_OUT_OF_BOUNDS;
        }
        return EvaluationError.NO_SUCH_OVERLOAD;
    }

    /** The value of a map for a key; null for none. */
    static Object lookup(Map<?, ?> map, Object key) {
        Object value = map.get(key);
        if (value != null || !Comparisons.isNumber(key)) {
            return value;
        }
        if (key instanceof Double real && (real.isNaN() || real.isInfinite())) {
            return null;
        }
        BigDecimal exact = Comparisons.exact(key).stripTrailingZeros();
        if (exact.scale() > 0 || exact.precision() - exact.scale() > MAX_DIGITS_OF_64_BITS) {
            return null;
        }
        BigInteger whole = exact.toBigInteger();
        value = whole.bitLength() < Long.SIZE ? map.get(whole.longValue()) : null;
        if (value != null || whole.signum() < 0 || whole.bitLength() > Long.SIZE) {
            return value;
        }
        return map.get(new UnsignedLong(whole.longValue()));
    }

    /** Whether a value may be the key of a map. */
    static boolean isKey(Object value) {
        return value instanceof Long
                || value instanceof UnsignedLong
                || value instanceof String
                || value instanceof Boolean;
    }

    /** A list of the items of both, in their order. */
    static List<Object> concatenate(List<?> first, List<?> second) {
        List<Object> items = new ArrayList<>(first);
        items.addAll(second);
        return items;
    }
}
