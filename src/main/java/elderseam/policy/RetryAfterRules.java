package elderseam.policy;

/**
 * Decides for how long a response keeps its destination from being called. What a response asks for binds, whether or
 * not the response is believed: a doubt about the request that it answers is none about the connection on which it
 * came. Stateless.
 */
public final class RetryAfterRules {
    /** How much is known of the Retry-After of a response. */
    public enum Reading {
        /** The head was read to its end. */
        EXACT,
        /** The rest of the head may still arrive; a number that was read may be the begin of a longer one. */
        UNFINISHED,
        /** The rest of the head will not arrive, or the Retry-After is no number. */
        UNREADABLE
    }

    /** The longest Retry-After in nanoseconds; a longer one is reduced to it. */
    public static final long MAX_NS = 600_000_000_000L;

    /** While the head of a rejection arrives: as long as the host reads on for it. */
    private static final long UNFINISHED_NS = 1_000_000_000L;

    /** For a rejection whose Retry-After can't be read. */
    private static final long UNREADABLE_NS = 5_000_000_000L;

    private RetryAfterRules() {}

    /**
     * Returns for how long a destination is not called, in nanoseconds, after a response that may ask for a wait: a
     * rejection, or any with a Retry-After. 0 if it asks for none.
     *
     * @param readNs the Retry-After as far as it was read; 0 if none was
     */
    public static long waitNs(Reading reading, long readNs) {
        long presumedNs = switch (reading) {
            case EXACT -> 0;
            case UNFINISHED -> UNFINISHED_NS;
            case UNREADABLE -> UNREADABLE_NS;
        };
        return Math.min(MAX_NS, Math.max(readNs, presumedNs));
    }
}
