package elderseam.policy;

/**
 * Limits the retries at a destination relative to its first attempts: a token bucket as in Finagle's RetryBudget. Each
 * first attempt adds {@code ratio} tokens, each retry consumes one token. Since every sender keeps the same ratio, so
 * does the total, for any number of senders. In addition, tokens are added at a minimum rate, which is divided among
 * the senders, so that a few requests may always be retried. Ratios are from 0 to 1, rates are per second, times are in
 * nanoseconds. Not thread-safe.
 */
final class RetryBudget {
    /** The maximum number of unused tokens, first part: those added at the minimum rate in this many seconds. */
    private static final double MAX_ACCUMULATED_S = 10;
    /** The maximum number of unused tokens, second part: those added by this many first attempts. */
    private static final double MAX_ACCUMULATED_FIRST_ATTEMPTS = 20;

    private final TokenBucket tokens = new TokenBucket(1);

    private void refill(long now, double ratio, double minRate) {
        tokens.refill(now, minRate, Math.max(1, MAX_ACCUMULATED_S * minRate + MAX_ACCUMULATED_FIRST_ATTEMPTS * ratio));
    }

    /** Adds the tokens for a first attempt that has started. */
    void onFirstAttempt(long now, double ratio, double minRate) {
        refill(now, ratio, minRate);
        tokens.add(ratio);
    }

    /** Consumes one token for a retry; false if none is left. */
    boolean tryConsumeRetry(long now, double ratio, double minRate) {
        refill(now, ratio, minRate);
        return tokens.tryConsume();
    }
}
