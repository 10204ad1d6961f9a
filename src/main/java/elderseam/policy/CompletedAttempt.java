package elderseam.policy;

/**
 * How one attempt ended.
 *
 * @param id of the request
 * @param attempt its number, from 0
 * @param retryAfterNs the Retry-After that was told; 0 if none
 * @param noSlot with NOT_SENT: no slot was free
 * @param requestFinished the request has its final answer, by this outcome or earlier; else one is owed
 */
public record CompletedAttempt(
        String id,
        int attempt,
        String endpoint,
        AttemptResult result,
        long latencyNs,
        long retryAfterNs,
        boolean noSlot,
        boolean requestFinished,
        LimitReport report) {}
