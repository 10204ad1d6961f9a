package elderseam.rules.lang;

import java.util.Arrays;

/** Octets that nobody changes. */
public final class Bytes implements Comparable<Bytes> {
    final byte[] octets;

    public Bytes(byte[] octets) {
        this.octets = octets.clone();
    }

    public int length() {
        return octets.length;
    }

    @Override
    public int compareTo(Bytes o) {
        return Arrays.compareUnsigned(octets, o.octets);
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Bytes b && Arrays.equals(octets, b.octets);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(octets);
    }
}
