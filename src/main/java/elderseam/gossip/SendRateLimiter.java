package elderseam.gossip;

/**
 * Limits the rate at which this member sends, independently of the size of the fleet. Two token buckets limit bytes and
 * datagrams; each has a capacity of one second's refill. Confined to one thread.
 */
public final class SendRateLimiter {
    private final TokenBucket bytes;
    private final TokenBucket datagrams;
    private long refusedCount;

    /** Creates a limiter whose buckets are full. */
    public SendRateLimiter(double bytesPerSecond, double datagramsPerSecond, long nowNs) {
        this.bytes = new TokenBucket(bytesPerSecond, bytesPerSecond, nowNs);
        this.datagrams = new TokenBucket(datagramsPerSecond, datagramsPerSecond, nowNs);
    }

    /** Returns the maximum size in bytes of a datagram sent now; 0 if none may be sent. */
    public int availableBytes(long nowNs) {
        return datagrams.available(nowNs) < 1 ? 0 : (int) Math.min(Integer.MAX_VALUE, bytes.available(nowNs));
    }

    /**
     * Acquires permission to send a datagram of {@code size} bytes now; returns false, and counts a refusal, if it
     * exceeds a limit.
     */
    public boolean tryAcquire(int size, long nowNs) {
        if (availableBytes(nowNs) < size) {
            refusedCount++;
            return false;
        }
        return bytes.tryAcquire(size, nowNs) && datagrams.tryAcquire(1, nowNs);
    }

    /** Replaces the limits. */
    public void setLimits(double bytesPerSecond, double datagramsPerSecond, long nowNs) {
        bytes.setLimits(bytesPerSecond, bytesPerSecond, nowNs);
        datagrams.setLimits(datagramsPerSecond, datagramsPerSecond, nowNs);
    }

    /** Returns how many datagrams have been refused. */
    public long refusedCount() {
        return refusedCount;
    }
}
