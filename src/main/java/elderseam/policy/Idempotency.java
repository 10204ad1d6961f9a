package elderseam.policy;

/** The effect that a repeated attempt of a request may have, in ascending order of risk. */
public enum Idempotency {
    /** A repeated attempt does no harm: the request may be attempted again at any time. */
    SAFE,
    /** The destination recognizes a repeated attempt by its idempotency key, for a limited time, and drops it. */
    KEYED,
    /** A repeated attempt may take effect a second time. */
    UNSAFE
}
