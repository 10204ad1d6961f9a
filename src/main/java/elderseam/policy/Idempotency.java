package elderseam.policy;

/** What a repeated attempt of a request may do. Ordered by risk, the smallest first. */
public enum Idempotency {
    /** Nothing: the request may be attempted again at any time. */
    SAFE,
    /** The destination drops it by its idempotency key, for a while. */
    KEYED,
    /** It may take effect twice. */
    UNSAFE
}
