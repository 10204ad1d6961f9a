package elderseam.rules.cel;

import java.util.Arrays;

/** A value of the type bytes: immutable octets, ordered as unsigned numbers. */
public final class ByteSequence implements Comparable<ByteSequence> {
    /** Not to be changed. */
    final byte[] octets;

    /** Copies the octets. */
    public ByteSequence(byte[] octets) {
        this.octets = octets.clone();
    }

    /** How many octets it has. */
    public int length() {
        return octets.length;
    }

    @Override
    public int compareTo(ByteSequence other) {
        return Arrays.compareUnsigned(octets, other.octets);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ByteSequence sequence && Arrays.equals(octets, sequence.octets);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(octets);
    }
}
