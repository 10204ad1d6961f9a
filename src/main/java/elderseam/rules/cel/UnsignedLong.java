package elderseam.rules.cel;

/**
 * A value of the type uint.
 *
 * @param bits the number, as an unsigned 64-bit integer
 */
public record UnsignedLong(long bits) implements Comparable<UnsignedLong> {
    @Override
    public int compareTo(UnsignedLong other) {
        return Long.compareUnsigned(bits, other.bits);
    }

    @Override
    public String toString() {
        return Long.toUnsignedString(bits);
    }
}
