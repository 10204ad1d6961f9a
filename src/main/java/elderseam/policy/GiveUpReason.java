package elderseam.policy;

/** Why the policy rejected or failed a request. */
public enum GiveUpReason {
    /** The request could no longer be answered before its deadline. */
    OUT_OF_TIME,
    /** The request has used all attempts that the settings allow. */
    ATTEMPTS_EXHAUSTED,
    /** An attempt may have taken effect, and a retry could repeat the effect. */
    MAY_HAVE_RUN,
    /** Too many requests were pending, and this one had the lowest priority. */
    SHED
}
