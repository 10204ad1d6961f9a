package elderseam.policy;

/** Why a request got its final outcome without a delivery. */
public enum GiveUpReason {
    /** It could not be answered before its deadline any more. */
    OUT_OF_TIME,
    /** It has had all its attempts. */
    ATTEMPTS_EXHAUSTED,
    /** An attempt may have taken effect, and it must not be attempted again. */
    MAY_HAVE_RUN,
    /** Too many requests were held, and it was worth the least. */
    SHED
}
