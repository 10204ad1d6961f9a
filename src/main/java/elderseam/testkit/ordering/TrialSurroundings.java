package elderseam.testkit.ordering;

/**
 * How endpoints and the platform behave in a run.
 *
 * @param endpoints of all destinations, which take turns in the list
 * @param minDelayMs of an endpoint's answer
 * @param badAnswerRatio calls that hang, break or fail
 * @param notificationDelayMs the longest time to the answer to a notification
 * @param refusedNotificationRatio calls with notifications that get 503
 * @param copies answers that come twice
 * @param destinations which clients call in turn; where there are several, the endpoints of each share a breaker
 * @param rejections with a wait
 */
public record TrialSurroundings(
        int endpoints,
        int minDelayMs,
        int maxDelayMs,
        double badAnswerRatio,
        int notificationDelayMs,
        double refusedNotificationRatio,
        CopyFault copies,
        int destinations,
        RejectionFault rejections) {}
