package elderseam.policy;

/**
 * How an ordering key stands, for logs.
 *
 * @param first id of the first request of the key that is not settled; empty for none
 * @param hold what the key holds its first request for: {@code none}, {@code in_flight} or {@code resting}
 * @param unsettled how many requests of the key are not settled
 */
public record OrderedKeyView(String first, String hold, int unsettled) {
    /** A request without an ordering key. */
    public static final OrderedKeyView NONE = new OrderedKeyView("", "none", 0);
}
