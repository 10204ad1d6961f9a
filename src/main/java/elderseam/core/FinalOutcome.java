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
        /** An endpoint has confirmed it. */
        DELIVERED(0),
        /** No endpoint has acted on it; a retry is safe. */
        REJECTED(1),
        /** It failed, and may have taken effect. */
        FAILED(2),
        /** It ended elsewhere or was withdrawn; nobody waits for the outcome any more. */
        WITHDRAWN(3);

        /** Stands for it in the journal: never to be changed. */
        final byte code;

        Kind(int code) {
            this.code = (byte) code;
        }

        /** The kind that a byte of the journal stands for; throws {@link IllegalArgumentException} for any other. */
        static Kind ofCode(byte code) {
            return switch (code) {
                case 0 -> DELIVERED;
                case 1 -> REJECTED;
                case 2 -> FAILED;
                case 3 -> WITHDRAWN;
                default -> throw new IllegalArgumentException("no outcome has the code " + code);
            };
        }
    }

    public static final FinalOutcome DELIVERED = new FinalOutcome(Kind.DELIVERED, 0);
    public static final FinalOutcome FAILED = new FinalOutcome(Kind.FAILED, 0);
    public static final FinalOutcome WITHDRAWN = new FinalOutcome(Kind.WITHDRAWN, 0);

    /** A rejection whose client should retry after so many nanoseconds. */
    public static FinalOutcome rejected(long retryAfterNs) {
        return new FinalOutcome(Kind.REJECTED, retryAfterNs);
    }

    /** Whether a client that was told of the acceptance has to be notified of it. */
    boolean needsNotification() {
        return kind == Kind.REJECTED || kind == Kind.FAILED;
    }

    /** Whether it is a rejection: the only outcome after which the same message may be submitted anew. */
    boolean isRejection() {
        return kind == Kind.REJECTED;
    }
}
