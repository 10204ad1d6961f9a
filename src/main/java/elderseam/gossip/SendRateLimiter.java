package elderseam.gossip;

/**
 * The most that this member sends, whatever the fleet's size: two token buckets, of bytes and of datagrams, each a second's
 * worth deep. One thread owns it.
 */
public final class SendRateLimiter {
    private final TokenBucket bytes, datagrams;
    private long refused;

    public SendRateLimiter(double bytesPerS, double datagramsPerS, long now) {
        this.bytes = new TokenBucket(bytesPerS, bytesPerS, now);
        this.datagrams = new TokenBucket(datagramsPerS, datagramsPerS, now);
    }

    /** Bytes that one datagram may have now, 0 where none may leave. */
    public int room(long now) {
        return datagrams.level(now) < 1 ? 0 : (int) Math.min(Integer.MAX_VALUE, bytes.level(now));
    }

    /** Takes one datagram of so many bytes; false, and counted, where it may not leave. */
    public boolean take(int size, long now) {
        if (room(now) < size) {
            refused++;
            return false;
        }
        return bytes.take(size, now) && datagrams.take(1, now);
    }

    /** Other limits from now on. */
    public void set(double bytesPerS, double datagramsPerS, long now) {
        bytes.set(bytesPerS, bytesPerS, now);
        datagrams.set(datagramsPerS, datagramsPerS, now);
    }

    /** Datagrams that did not leave. */
    public long refused() {
        return refused;
    }
}
