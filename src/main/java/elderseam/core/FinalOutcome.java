package elderseam.core;

/** The one final answer of a stream. {@code againNs}: when refused, how long its client had better stay away. */
public record FinalOutcome(Kind kind, long againNs) {
    /** OVER: the message ended elsewhere, or was withdrawn; nothing is owed any more. */
    public enum Kind {
        DELIVERED,
        REFUSED,
        FAILED,
        OVER
    }

    public static final FinalOutcome DELIVERED = new FinalOutcome(Kind.DELIVERED, 0);
    public static final FinalOutcome FAILED = new FinalOutcome(Kind.FAILED, 0);
    public static final FinalOutcome OVER = new FinalOutcome(Kind.OVER, 0);

    public static FinalOutcome refused(long againNs) {
        return new FinalOutcome(Kind.REFUSED, againNs);
    }
}
