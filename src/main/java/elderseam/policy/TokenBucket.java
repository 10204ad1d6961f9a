package elderseam.policy;

/** A token bucket: tokens are added at a rate up to a limit and consumed one by one. Not thread-safe. */
final class TokenBucket {
    private static final long NEVER = Long.MIN_VALUE;

    private double tokens;
    private long refilledAt = NEVER;

    TokenBucket(double tokens) {
        this.tokens = tokens;
    }

    /** Adds the tokens since the last refill at {@code rate}, in tokens per second; none at the first refill. */
    void refill(long now, double rate, double limit) {
        double elapsedS = refilledAt == NEVER ? 0 : (now - refilledAt) / 1e9;
        refilledAt = now;
        tokens = Math.min(limit, tokens + rate * elapsedS);
    }

    void add(double amount) {
        tokens += amount;
    }

    /** Consumes a token; returns false if none is available. */
    boolean tryConsume() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    void transfer(SnapshotCursor snapshot) {
        tokens = snapshot.real(tokens);
    }
}
