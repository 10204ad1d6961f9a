package elderseam.policy;

/**
 * The state of an ordering key, for logs.
 *
 * @param first id of the first request of the key that is not settled; empty if there is none
 * @param hold why the key does not allow an attempt of its first request: {@code none} (it does), {@code in_flight} or
 *     {@code resting}
 * @param unsettled number of requests of the key that are not settled
 */
public record OrderedKeyView(String first, String hold, int unsettled) {
    /** The view for a request without an ordering key. */
    public static final OrderedKeyView NONE = new OrderedKeyView("", "none", 0);
}
