package elderseam.frontend.platform;

/**
 * What the process may use, and how it is shared out. Descriptors: the JVM and its files, downstream connections (on the
 * platform clients need a third of all), upstream ones with what is left, and a few for the platform itself.
 */
public record ResourceLimits(long diskBytes, int sockets, int memoryMb) {
    private static final int OWN = 56, ACCEPTING = 12; // own: 34 were counted, with one front
    public static final int PLATFORM = 6;

    /** Downstream connections, of all fronts. */
    public int downstream() {
        return Math.max(16, sockets * 9 / 20);
    }

    /** Upstream connections, idle ones counted. */
    public int upstream() {
        return Math.max(16, sockets - OWN - ACCEPTING - PLATFORM - downstream());
    }

    /** Bytes of requests that are being read, over all downstream connections of a front. */
    public int reading() {
        return memoryMb * (1 << 20) / 32;
    }
}
