package elderseam.core;

/**
 * The number by which the policy knows an ordering key: 63 bits of an FNV-1a hash (Fowler, Noll, Vo; 64 bit) of its text.
 * Two keys with one number would only wait for one another.
 */
final class OrderKeyHash {
    /** The policy's number for no key. */
    static final long NONE = -1;

    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private OrderKeyHash() {}

    /** The number of a key; {@link #NONE} for an empty one. */
    static long of(String key) {
        if (key.isEmpty()) {
            return NONE;
        }
        long hash = OFFSET_BASIS;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * PRIME;
        }
        return hash & Long.MAX_VALUE;
    }
}
