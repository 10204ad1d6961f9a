package elderseam.rules.cel;

import static elderseam.rules.cel.ValueSize.add;
import static elderseam.rules.cel.ValueSize.multiply;

import java.util.List;
import java.util.Map;

/**
 * What functions cost, in units of about one small step, by the sizes of their arguments. Both the bound at compile time
 * ({@link CostEstimator}) and the count at evaluation come from here, so that no count exceeds the bound while inputs keep to their
 * declared sizes.
 */
final class CostModel {
    private static final int CONVERSION_COST = 8;
    private static final int TIME_ACCESSOR_COST = 20;
    /** A linear-time match looks at each character with each state of the pattern; four such looks cost one unit. */
    static final int PATTERN_STATES_PER_UNIT = 4;

    private CostModel() {}

    /** The cost of one call, without that of its arguments. */
    static long costOf(String function, ValueSize[] arguments) {
        ValueSize first = arguments[0];
        return switch (function) {
            case Operators.EQUALS,
                    Operators.NOT_EQUALS,
                    Operators.LESS,
                    Operators.LESS_EQUALS,
                    Operators.GREATER,
                    Operators.GREATER_EQUALS,
                    Operators.ADD -> add(1, add(first.scanCost(), arguments[1].scanCost()));
            case Operators.IN -> add(1, searchCost(first, arguments[1]));
            case Operators.INDEX -> add(1, arguments[1].scanCost());
            case "startsWith", "endsWith" -> add(1, arguments[1].textScanCost());
            case "contains" -> {
                long comparisons = multiply(first.chars(), arguments[1].chars());
                yield add(1, add(first.textScanCost(), comparisons / ValueSize.CHARS_PER_UNIT));
            }
            case Functions.MATCHES ->
                add(1, multiply(1 + first.chars(), 1 + arguments[1].chars()) / PATTERN_STATES_PER_UNIT);
            case "size" -> first.textScanCost();
            case "string", "int", "uint", "double", "bytes", "bool", "timestamp", "duration" ->
                add(CONVERSION_COST, first.textScanCost());
            default -> Functions.isTimeAccessor(function) ? TIME_ACCESSOR_COST : 1;
        };
    }

    /** The cost of looking for an item in a list or a map. */
    private static long searchCost(ValueSize item, ValueSize range) {
        return range.item() == null
                ? item.scanCost()
                : multiply(range.length(), add(item.scanCost(), range.item().scanCost()));
    }

    /** The size of a value. Of a list or a map only how many items there are: what looks at them counts as it goes. */
    static ValueSize sizeOf(Object value) {
        if (value instanceof String string) {
            return ValueSize.text(string.length());
        }
        if (value instanceof ByteSequence bytes) {
            return ValueSize.text(bytes.length());
        }
        if (value instanceof List<?> list) {
            return ValueSize.list(list.size(), ValueSize.NONE);
        }
        return value instanceof Map<?, ?> map ? ValueSize.list(map.size(), ValueSize.NONE) : ValueSize.ONE;
    }
}
