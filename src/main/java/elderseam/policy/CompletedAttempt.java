package elderseam.policy;

/**
 * The outcome of one attempt.
 *
 * @param id the id of the request
 * @param attempt the number of the attempt, from 0
 * @param retryAfterNs the Retry-After of the response in nanoseconds; 0 if it had none
 * @param noSlot with NOT_SENT: the attempt was not sent because no slot was free
 * @param requestFinished the request has its final outcome, by this attempt or earlier; otherwise the policy has yet to
 *     decide it
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
