package elderseam.core;

/**
 * The one final outcome of a request. Immutable.
 *
 * @param kind how the request ended
 * @param retryAfterNs for a rejection, how long its client should wait before it retries, in nanoseconds; otherwise 0
 */
public record FinalOutcome(Kind kind, long retryAfterNs) {
    /** How a request ended. */
    public enum Kind {
        /** An endpoint has confirmed delivery. */
        DELIVERED(0),
        /** No endpoint has executed the request; a retry is safe. */
        REJECTED(1),
        /** The request failed but may have taken effect. */
        FAILED(2),
        /** The request was completed elsewhere or was withdrawn; no client waits for the outcome. */
        WITHDRAWN(3);

        /** Code of this kind in the journal. Must never change. */
        final byte code;

        Kind(int code) {
            this.code = (byte) code;
        }

        /** The kind with that journal code; throws {@link IllegalArgumentException} if there is none. */
        static Kind ofCode(byte code) {
            return switch (code) {
                case 0 -> DELIVERED;
                case 1 -> REJECTED;
                case 2 -> FAILED;
                case 3 -> WITHDRAWN;
                default -> throw new IllegalArgumentException("unknown code of a final outcome: " + code);
            };
        }
    }

    public static final FinalOutcome DELIVERED = new FinalOutcome(Kind.DELIVERED, 0);
    public static final FinalOutcome FAILED = new FinalOutcome(Kind.FAILED, 0);
    public static final FinalOutcome WITHDRAWN = new FinalOutcome(Kind.WITHDRAWN, 0);

    /** A rejection whose client should wait {@code retryAfterNs} nanoseconds before it retries. */
    public static FinalOutcome rejected(long retryAfterNs) {
        return new FinalOutcome(Kind.REJECTED, retryAfterNs);
    }

    /** Whether a client that was informed of the acceptance must be notified of this outcome. */
    boolean needsNotification() {
        return kind == Kind.REJECTED || kind == Kind.FAILED;
    }

    /** Whether this is a rejection, the only outcome after which the same message may be submitted again. */
    boolean isRejection() {
        return kind == Kind.REJECTED;
    }
}
