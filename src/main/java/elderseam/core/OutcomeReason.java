package elderseam.core;

import elderseam.policy.GiveUpReason;
import java.util.Locale;

/** Why a request has its final outcome, for logs and metrics. */
enum OutcomeReason {
    /** An endpoint delivered it. */
    DELIVERED,
    /** An endpoint said that it ended elsewhere. */
    WITHDRAWN,
    /** It could not be answered before its deadline any more. */
    OUT_OF_TIME,
    /** It has had all its attempts. */
    ATTEMPTS_EXHAUSTED,
    /** An attempt may have taken effect, and it must not be attempted again. */
    MAY_HAVE_RUN,
    /** Too many requests were held, and it was worth the least. */
    SHED,
    /** Rejected at once: another process owns the work. */
    HANDED_OVER,
    /** Rejected at once: no endpoint is listed for its destination. */
    NO_ENDPOINT,
    /** Rejected at once: as many requests are held as the settings allow. */
    REQUEST_LIMIT,
    /** Rejected at once: the journal is full, or can't be written. */
    JOURNAL_UNAVAILABLE,
    /** It shares the outcome of the request that it duplicates. */
    DUPLICATE,
    /** It waited for the outcome of the request that it duplicates until its time was up. */
    DUPLICATE_OUT_OF_TIME;

    /** The reason that the policy gives. */
    static OutcomeReason of(GiveUpReason reason) {
        return switch (reason) {
            case OUT_OF_TIME -> OUT_OF_TIME;
            case ATTEMPTS_EXHAUSTED -> ATTEMPTS_EXHAUSTED;
            case MAY_HAVE_RUN -> MAY_HAVE_RUN;
            case SHED -> SHED;
        };
    }

    /** The word that logs and metrics have for it. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
