package elderseam.frontend.platform;

/**
 * What the process may use, and how its descriptors are divided: the JVM's own files, client connections (the
 * platform's clients alone need a third of all), a few connections to the platform, and what is left for endpoints.
 *
 * @param diskBytes the size of everything in the state directory
 * @param descriptors the number of open descriptors, sockets and files
 * @param memoryMb the memory in MiB
 */
public record ResourceLimits(long diskBytes, int descriptors, int memoryMb) {
    /** Connections to the platform: discovery and notifications. */
    public static final int PLATFORM_CONNECTIONS = 6;

    /** Descriptors of the JVM and its files: 34 were counted, with one frontend. */
    private static final int PROCESS_DESCRIPTORS = 56;

    /** Connections that are accepted beyond the limit, until one of them is closed. */
    private static final int ACCEPTING_CONNECTIONS = 12;

    private static final int MIN_CONNECTIONS = 16;

    /** The part of the memory that requests may take while they are read. */
    private static final int REQUEST_MEMORY_DIVISOR = 32;

    private static final long BYTES_PER_MIB = 1 << 20;

    /** The largest number of client connections, of all frontends: 45% of the descriptors. */
    public int clientConnections() {
        return Math.max(MIN_CONNECTIONS, descriptors * 9 / 20);
    }

    /** The largest number of connections to endpoints, idle ones included. */
    public int endpointConnections() {
        int reserved = PROCESS_DESCRIPTORS + ACCEPTING_CONNECTIONS + PLATFORM_CONNECTIONS + clientConnections();
        return Math.max(MIN_CONNECTIONS, descriptors - reserved);
    }

    /** The largest size of all requests that are being read at once, over the client connections of a frontend. */
    public int requestBytes() {
        return (int) Math.min(Integer.MAX_VALUE, memoryMb * BYTES_PER_MIB / REQUEST_MEMORY_DIVISOR);
    }
}
