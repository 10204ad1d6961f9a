package elderseam.policy;

/**
 * What an endpoint told of its rate limit.
 *
 * @param headroom the share of the limit that is left, 0 to 1
 * @param limitPerSecond calls a second from all senders; 0 where none was told
 */
public record LimitReport(double headroom, double limitPerSecond) {
    /** No limit was told. */
    public static final LimitReport NONE = new LimitReport(0, 0);
}
