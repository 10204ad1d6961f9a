package elderseam.gossip;

/** A token bucket, refilled at a constant rate up to its capacity, and initially full. Confined to one thread. */
public final class TokenBucket {
    private static final double NS_PER_SECOND = 1e9;

    private double tokensPerSecond;
    private double capacity;
    private double tokens;
    private long refilledAtNs;

    /** @throws IllegalArgumentException if the rate or the capacity is not above 0 */
    public TokenBucket(double tokensPerSecond, double capacity, long nowNs) {
        if (tokensPerSecond <= 0 || capacity <= 0) {
            throw new IllegalArgumentException("a token bucket's rate and capacity must be above 0");
        }
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
        this.tokens = capacity;
        this.refilledAtNs = nowNs;
    }

    /** Refills the bucket up to {@code nowNs}, and returns the number of tokens in it. */
    public double available(long nowNs) {
        tokens = Math.min(capacity, tokens + Math.max(0, nowNs - refilledAtNs) / NS_PER_SECOND * tokensPerSecond);
        refilledAtNs = Math.max(refilledAtNs, nowNs);
        return tokens;
    }

    /** Acquires {@code count} tokens if that many are available, and none otherwise; returns whether it did. */
    public boolean tryAcquire(double count, long nowNs) {
        if (available(nowNs) < count) {
            return false;
        }
        tokens -= count;
        return true;
    }

    /** Replaces rate and capacity; tokens above the new capacity are discarded. */
    void setLimits(double newTokensPerSecond, double newCapacity, long nowNs) {
        available(nowNs);
        tokensPerSecond = newTokensPerSecond;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }
}
