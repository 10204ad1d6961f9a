package elderseam.core;

/**
 * Maps ordering keys to the numbers that identify them in the policy: 63 bits of the 64-bit FNV-1a hash (Fowler, Noll,
 * Vo) of the key. If two keys collide, their messages merely wait for each other.
 */
final class OrderKeyHash {
    /** The number that the policy uses for "no ordering key". */
    static final long NONE = -1;

    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private OrderKeyHash() {}

    /** Returns the number of a key; {@link #NONE} for an empty key. */
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
