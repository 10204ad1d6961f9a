package elderseam.rules.cel;

import static elderseam.rules.cel.ValueSize.add;
import static elderseam.rules.cel.ValueSize.mul;

/**
 * What functions cost, in units of about one small step, by the sizes of what they are given. The bound at load and the count
 * while evaluating both come from here, so that the count is below the bound wherever inputs keep to what was declared.
 */
final class CostModel {
    private CostModel() {}

    static long of(String function, ValueSize[] a) {
        return switch (function) {
            case "==", "!=", "<", "<=", ">", ">=" -> add(1, add(a[0].whole(), a[1].whole()));
            case "+" -> add(1, add(a[0].whole(), a[1].whole()));
            case "in" ->
                add(
                        1,
                        a[1].item() == null
                                ? a[0].whole()
                                : mul(
                                        a[1].length(),
                                        add(a[0].whole(), a[1].items().whole())));
            case "[]" -> add(1, a[1].whole());
            case "startsWith", "endsWith" -> add(1, a[1].texts());
            case "contains" -> add(1, add(a[0].texts(), mul(a[0].chars(), a[1].chars()) / 16));
            case "matches" -> add(1, mul(1 + a[0].chars(), 1 + a[1].chars()) / 4);
            case "size" -> a[0].texts();
            case "string", "int", "uint", "double", "bytes", "bool", "timestamp", "duration" -> add(8, a[0].texts());
            default -> function.startsWith("get") ? 20 : 1;
        };
    }

    /** The size of a value. Of a list or map only how many there are: what looks at its items counts as it goes. */
    static ValueSize of(Object v) {
        return v instanceof String s
                ? ValueSize.text(s.length())
                : v instanceof ByteSequence b
                        ? ValueSize.text(b.length())
                        : v instanceof java.util.List<?> l
                                ? ValueSize.list(l.size(), ValueSize.NONE)
                                : v instanceof java.util.Map<?, ?> m
                                        ? ValueSize.list(m.size(), ValueSize.NONE)
                                        : ValueSize.ONE;
    }
}
