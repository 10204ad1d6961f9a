package elderseam.rules.cel;

/** An unsigned whole number of 64 bits. */
public record UnsignedLong(long bits) implements Comparable<UnsignedLong> {
    @Override
    public int compareTo(UnsignedLong o) {
        return Long.compareUnsigned(bits, o.bits);
    }

    @Override
    public String toString() {
        return Long.toUnsignedString(bits);
    }
}
