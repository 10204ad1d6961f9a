package elderseam.core;

import elderseam.policy.GiveUpReason;
import java.util.Locale;

/** Why a request got its final outcome, for logs and metrics. */
enum OutcomeReason {
    /** An endpoint confirmed delivery. */
    DELIVERED,
    /** An endpoint responded that the request was completed elsewhere. */
    WITHDRAWN,
    /** The request could no longer be completed before its deadline. */
    OUT_OF_TIME,
    /** The request has used all its attempts. */
    ATTEMPTS_EXHAUSTED,
    /** An attempt may have taken effect, so that the request must not be attempted again. */
    MAY_HAVE_RUN,
    /** Load shedding: there were too many requests, and this one had the lowest value. */
    SHED,
    /** Rejected on submission: another process has taken over. */
    HANDED_OVER,
    /** Rejected on submission: no endpoint is listed for the destination. */
    NO_ENDPOINT,
    /** Rejected on submission: the maximum number of requests in flight is reached. */
    REQUEST_LIMIT,
    /** Rejected on submission: the journal is full or cannot be written. */
    JOURNAL_UNAVAILABLE,
    /** A duplicate, which shares the outcome of the first request with its key. */
    DUPLICATE,
    /** A duplicate whose time ran out before the first request with its key had an outcome. */
    DUPLICATE_OUT_OF_TIME;

    /** Converts the reason reported by the policy. */
    static OutcomeReason of(GiveUpReason reason) {
        return switch (reason) {
            case OUT_OF_TIME -> OUT_OF_TIME;
            case ATTEMPTS_EXHAUSTED -> ATTEMPTS_EXHAUSTED;
            case MAY_HAVE_RUN -> MAY_HAVE_RUN;
            case SHED -> SHED;
        };
    }

    /** The name of the reason in logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
