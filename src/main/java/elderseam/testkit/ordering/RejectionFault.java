package elderseam.testkit.ordering;

import java.util.List;

/**
 * Rejections with a wait that endpoints answer, some of them spoilt.
 *
 * @param ratio of the calls that are rejected with a wait, 0 to 1
 * @param minWaitMs the shortest wait that is asked for
 * @param maxWaitMs the longest wait that is asked for
 * @param faults of which one is drawn for every second rejection; none where the list is empty
 */
public record RejectionFault(double ratio, int minWaitMs, int maxWaitMs, List<AnswerFault> faults) {
    /** No rejections with a wait. */
    public static final RejectionFault NONE = new RejectionFault(0, 0, 0, List.of());
}
