package elderseam.rules.cel;

/**
 * How large a value may be at the most: {@code length}: characters of a string, octets, items of a list, entries of a map; {@code item}:
 * the largest of its items, keys and values alike, null where it has none; {@code chars}: its characters, where it may be a string;
 * {@code most}: units of looking at all of it, where that is known to be less than the rest would let one think.
 */
public record ValueSize(long length, ValueSize item, long chars, long most) {
    static final long MOST = 1L << 50;
    public static final ValueSize ONE = new ValueSize(1, null, 1, MOST);
    static final ValueSize NONE = new ValueSize(0, null, 0, MOST);

    /** A text of so many characters. */
    public static ValueSize text(long length) {
        long most = Math.min(MOST, length);
        return new ValueSize(most, null, most, MOST);
    }

    /** A list, or a map, of so many. */
    public static ValueSize list(long length, ValueSize item) {
        return new ValueSize(Math.min(MOST, length), item, 0, MOST);
    }

    /** A text of so many characters, or lists and maps of such that hold so many items in all, {@code deep} in one another. */
    public static ValueSize any(long chars, long items, int deep) {
        long most = mul(1 + items, 2 + chars / 16);
        ValueSize s = text(chars);
        for (int i = 0; i < deep; i++) {
            s = new ValueSize(items, s, chars, most);
        }
        return s;
    }

    ValueSize items() {
        return item == null ? ONE : item;
    }

    /** Units of looking at all of it: a text in sixteens, a list item by item. */
    long whole() {
        return item == null ? 1 + length / 16 : Math.min(most, Math.max(texts(), add(1, mul(length, item.whole()))));
    }

    /** The same, of a text. */
    long texts() {
        return 1 + chars / 16;
    }

    static ValueSize larger(ValueSize a, ValueSize b) {
        return new ValueSize(
                Math.max(a.length, b.length),
                a.item == null ? b.item : b.item == null ? a.item : larger(a.item, b.item),
                Math.max(a.chars, b.chars),
                Math.max(a.most, b.most));
    }

    static long add(long a, long b) {
        return Math.min(MOST, a + b);
    }

    static long mul(long a, long b) {
        return a != 0 && b > MOST / a ? MOST : a * b;
    }
}
