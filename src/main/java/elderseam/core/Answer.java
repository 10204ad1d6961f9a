package elderseam.core;

/** The one final answer of a stream. {@code againNs}: when refused, how long its client had better stay away. */
public record Answer(Kind kind, long againNs) {
    /** OVER: the message ended elsewhere, or was withdrawn; nothing is owed any more. */
    public enum Kind {
        DELIVERED,
        REFUSED,
        FAILED,
        OVER
    }

    public static final Answer DELIVERED = new Answer(Kind.DELIVERED, 0);
    public static final Answer FAILED = new Answer(Kind.FAILED, 0);
    public static final Answer OVER = new Answer(Kind.OVER, 0);

    public static Answer refused(long againNs) {
        return new Answer(Kind.REFUSED, againNs);
    }
}
