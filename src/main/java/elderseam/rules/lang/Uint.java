package elderseam.rules.lang;

/** An unsigned whole number of 64 bits. */
public record Uint(long bits) implements Comparable<Uint> {
    @Override
    public int compareTo(Uint o) {
        return Long.compareUnsigned(bits, o.bits);
    }

    @Override
    public String toString() {
        return Long.toUnsignedString(bits);
    }
}
