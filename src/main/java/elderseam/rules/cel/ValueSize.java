package elderseam.rules.cel;

/**
 * The largest that a value may be, from which {@link CostModel} estimates what functions of it cost.
 *
 * @param length characters of a string, octets of bytes, items of a list, entries of a map
 * @param item the largest of its items, keys or values; null where it has none
 * @param chars its characters where it may be a string, else 0
 * @param maxScanCost cost units of looking at all of the value, where less is known than follows from the other components
 */
public record ValueSize(long length, ValueSize item, long chars, long maxScanCost) {
    /** Where sizes and costs saturate; it counts as without bound. */
    static final long UNBOUNDED = 1L << 50;

    /** How many characters, or octets, cost one unit to look at. */
    static final int CHARS_PER_UNIT = 16;

    /** The size of numbers, bools, timestamps, durations and null. */
    public static final ValueSize ONE = new ValueSize(1, null, 1, UNBOUNDED);

    /** The size of the items of an empty list. */
    static final ValueSize NONE = new ValueSize(0, null, 0, UNBOUNDED);

    /** A string of so many characters, or bytes of so many octets. */
    public static ValueSize text(long length) {
        long chars = Math.min(UNBOUNDED, length);
        return new ValueSize(chars, null, chars, UNBOUNDED);
    }

    /** A list, or a map, of so many items. */
    public static ValueSize list(long length, ValueSize item) {
        return new ValueSize(Math.min(UNBOUNDED, length), item, 0, UNBOUNDED);
    }

    /**
     * A value of any type: a string of so many characters, or lists and maps of such, {@code depth} inside one another, that hold so many
     * items in all.
     */
    public static ValueSize any(long chars, long items, int depth) {
        long maxScanCost = multiply(1 + items, 2 + chars / CHARS_PER_UNIT);
        ValueSize size = text(chars);
        for (int i = 0; i < depth; i++) {
            size = new ValueSize(items, size, chars, maxScanCost);
        }
        return size;
    }

    /** The size of the items; {@link #ONE} where none is known. */
    ValueSize itemOrOne() {
        return item == null ? ONE : item;
    }

    /** Cost units of looking at all of the value, a list item by item. */
    long scanCost() {
        if (item == null) {
            return 1 + length / CHARS_PER_UNIT;
        }
        long itemByItem = add(1, multiply(length, item.scanCost()));
        return Math.min(maxScanCost, Math.max(textScanCost(), itemByItem));
    }

    /** Cost units of looking at all of the value if it is a string. */
    long textScanCost() {
        return 1 + chars / CHARS_PER_UNIT;
    }

    /** A size that neither is larger than. */
    static ValueSize max(ValueSize first, ValueSize second) {
        return new ValueSize(
                Math.max(first.length, second.length),
                maxItem(first.item, second.item),
                Math.max(first.chars, second.chars),
                Math.max(first.maxScanCost, second.maxScanCost));
    }

    private static ValueSize maxItem(ValueSize first, ValueSize second) {
        if (first == null) {
            return second;
        }
        return second == null ? first : max(first, second);
    }

    /** The sum of two sizes or costs, at most {@link #UNBOUNDED}. */
    static long add(long first, long second) {
        return Math.min(UNBOUNDED, first + second);
    }

    /** The product of two sizes or costs, at most {@link #UNBOUNDED}. */
    static long multiply(long first, long second) {
        return first != 0 && second > UNBOUNDED / first ? UNBOUNDED : first * second;
    }
}
