package elderseam.gossip;

/**
 * The most that this member sends, whatever the fleet's size: two token buckets, of bytes and of datagrams, each a second's
 * worth deep. One thread owns it.
 */
public final class Ceiling {
    private final double bytesPerS, datagramsPerS;
    private double bytes, datagrams;
    private long at;
    private long refused;

    public Ceiling(double bytesPerS, double datagramsPerS, long now) {
        if (bytesPerS <= 0 || datagramsPerS <= 0) {
            throw new IllegalArgumentException("a ceiling is above 0");
        }
        this.bytesPerS = bytesPerS;
        this.datagramsPerS = datagramsPerS;
        this.bytes = bytesPerS;
        this.datagrams = datagramsPerS;
        this.at = now;
    }

    /** Bytes that one datagram may have now, 0 where none may leave. */
    public int room(long now) {
        refill(now);
        return datagrams < 1 ? 0 : (int) Math.min(Integer.MAX_VALUE, Math.max(0, bytes));
    }

    /** Takes one datagram of so many bytes; false, and counted, where it may not leave. */
    public boolean take(int size, long now) {
        if (room(now) < size) {
            refused++;
            return false;
        }
        bytes -= size;
        datagrams--;
        return true;
    }

    /** Datagrams that did not leave. */
    public long refused() {
        return refused;
    }

    private void refill(long now) {
        double dt = Math.max(0, now - at) / 1e9;
        at = Math.max(at, now);
        bytes = Math.min(bytesPerS, bytes + dt * bytesPerS);
        datagrams = Math.min(datagramsPerS, datagrams + dt * datagramsPerS);
    }
}
