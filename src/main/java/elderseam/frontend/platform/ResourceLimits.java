package elderseam.frontend.platform;

/**
 * The resource limits of the process, and the division of its file descriptors: the JVM's own files, client connections
 * (the platform's clients alone need a third of all descriptors), a few connections to the platform, and the rest for
 * endpoints.
 *
 * @param diskBytes the maximum size of all files in the state directory
 * @param descriptors the maximum number of open file descriptors, for sockets and files
 * @param memoryMb the maximum memory in MiB
 */
public record ResourceLimits(long diskBytes, int descriptors, int memoryMb) {
    /** The number of connections to the platform, for discovery and notifications. */
    public static final int PLATFORM_CONNECTIONS = 6;

    /** Descriptors reserved for the JVM and its files; with one front end they use 34. */
    private static final int PROCESS_DESCRIPTORS = 56;

    /** Descriptors for connections that are accepted beyond the limit, until one of those connections is closed. */
    private static final int EXCESS_CONNECTIONS = 12;

    private static final int MIN_CONNECTIONS = 16;

    /** The divisor of the memory limit that gives the memory for requests that are being read. */
    private static final int REQUEST_MEMORY_DIVISOR = 32;

    /** The divisor of the memory limit that gives the memory for the bodies of accepted messages. */
    private static final int HELD_MEMORY_DIVISOR = 16;

    /** The divisor of the memory limit that gives the memory for answered requests that may have to be repeated. */
    private static final int UNSETTLED_MEMORY_DIVISOR = 32;

    private static final long BYTES_PER_MIB = 1 << 20;

    /** The maximum number of client connections of all front ends together: 45% of the descriptors. */
    public int clientConnections() {
        return Math.max(MIN_CONNECTIONS, descriptors * 9 / 20);
    }

    /** The maximum number of connections to endpoints, including idle connections. */
    public int endpointConnections() {
        int reserved = PROCESS_DESCRIPTORS + EXCESS_CONNECTIONS + PLATFORM_CONNECTIONS + clientConnections();
        return Math.max(MIN_CONNECTIONS, descriptors - reserved);
    }

    /** The maximum total size of the bodies of accepted messages without a final outcome. */
    public long heldBytes() {
        return memoryMb * BYTES_PER_MIB / HELD_MEMORY_DIVISOR;
    }

    /** The maximum total size of the answered requests that are kept to repeat them if their responses are refuted. */
    public long unsettledBytes() {
        return memoryMb * BYTES_PER_MIB / UNSETTLED_MEMORY_DIVISOR;
    }

    /** The maximum total size of requests that one front end reads at the same time, in bytes. */
    public int requestBytes() {
        return (int) Math.min(Integer.MAX_VALUE, memoryMb * BYTES_PER_MIB / REQUEST_MEMORY_DIVISOR);
    }
}
