package elderseam.policy;

/**
 * The rate limit that an endpoint reported with an answer.
 *
 * @param headroom unused share of the limit, 0 to 1
 * @param limitPerSecond limit in calls per second from all senders together; 0 if none was reported
 */
public record LimitReport(double headroom, double limitPerSecond) {
    /** No limit was reported. */
    public static final LimitReport NONE = new LimitReport(0, 0);
}
