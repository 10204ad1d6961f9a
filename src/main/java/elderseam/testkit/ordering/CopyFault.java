package elderseam.testkit.ordering;

/**
 * Answers of endpoints and the platform that come once more on their connection.
 *
 * @param ratio of the answers that are copied, 0 to 1
 * @param minDelayMs the shortest time from an answer to its copy
 * @param maxDelayMs the longest time from an answer to its copy
 * @param cutRatio of the copies that break off at any byte, 0 to 1
 */
public record CopyFault(double ratio, int minDelayMs, int maxDelayMs, double cutRatio) {
    /** No copies. */
    public static final CopyFault NONE = new CopyFault(0, 0, 0, 0);
}
