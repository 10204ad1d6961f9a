package elderseam.rules.lang;

/**
 * How large a value may be at the most: characters of a string, octets, items of a list, entries of a map; {@code item}: the largest
 * of its items, keys and values alike, null where it has none.
 */
public record Size(long length, Size item) {
    static final long MOST = 1L << 50;
    static final Size ONE = new Size(1, null);
    static final Size NONE = new Size(0, null);

    /** A text of so many characters. */
    public static Size text(long length) {
        return new Size(Math.min(MOST, length), null);
    }

    /** A list, or a map, of so many. */
    public static Size list(long length, Size item) {
        return new Size(Math.min(MOST, length), item);
    }

    Size items() {
        return item == null ? ONE : item;
    }

    /** Units of looking at all of it: a text in sixteens, a list item by item. */
    long whole() {
        return item == null ? 1 + length / 16 : add(1, mul(length, item.whole()));
    }

    static Size larger(Size a, Size b) {
        return new Size(Math.max(a.length, b.length), a.item == null ? b.item : b.item == null ? a.item : larger(a.item, b.item));
    }

    static long add(long a, long b) {
        return Math.min(MOST, a + b);
    }

    static long mul(long a, long b) {
        return a != 0 && b > MOST / a ? MOST : a * b;
    }
}
