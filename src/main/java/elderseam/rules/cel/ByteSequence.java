package elderseam.rules.cel;

import java.util.Arrays;

/** Octets that nobody changes. */
public final class ByteSequence implements Comparable<ByteSequence> {
    final byte[] octets;

    public ByteSequence(byte[] octets) {
        this.octets = octets.clone();
    }

    public int length() {
        return octets.length;
    }

    @Override
    public int compareTo(ByteSequence o) {
        return Arrays.compareUnsigned(octets, o.octets);
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof ByteSequence b && Arrays.equals(octets, b.octets);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(octets);
    }
}
