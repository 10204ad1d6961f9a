package elderseam.gossip;

/** A token bucket: so much a second, at most {@code depth} at once. One thread owns it. */
public final class TokenBucket {
    private double rate, depth, level;
    private long at;

    public TokenBucket(double rate, double depth, long now) {
        if (rate <= 0 || depth <= 0) {
            throw new IllegalArgumentException("a bucket's rate and depth are above 0");
        }
        this.rate = rate;
        this.depth = depth;
        this.level = depth;
        this.at = now;
    }

    /** What it holds now. */
    public double level(long now) {
        level = Math.min(depth, level + Math.max(0, now - at) / 1e9 * rate);
        at = Math.max(at, now);
        return level;
    }

    /** Takes so much, or nothing. */
    public boolean take(double much, long now) {
        if (level(now) < much) {
            return false;
        }
        level -= much;
        return true;
    }

    /** Another rate and depth from now on; what it holds beyond the new depth is gone. */
    void set(double newRate, double newDepth, long now) {
        level(now);
        rate = newRate;
        depth = newDepth;
        level = Math.min(level, depth);
    }
}
