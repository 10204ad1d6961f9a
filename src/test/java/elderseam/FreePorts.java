package elderseam;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports that a test gives to a process which listens there later. They lie below the range that the system takes for outgoing
 * connections, so none of these can occupy one meanwhile. Thread-safe.
 */
public final class FreePorts {
    private static final int LOWEST = 20_000;

    /** Linux takes ports from 32,768 on for outgoing connections. */
    private static final int COUNT = 12_000;

    /** Test processes side by side begin so far from each other. */
    private static final int PORTS_PER_PROCESS = 200;

    private static final AtomicInteger GIVEN = new AtomicInteger();

    private FreePorts() {}

    /** A port of the loopback address that nobody listens at, and that this process has not given before. */
    public static int next() throws IOException {
        int first = (int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % COUNT);
        for (int i = 0; i < COUNT; i++) {
            int port = LOWEST + (first + GIVEN.getAndIncrement()) % COUNT;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no port is free from " + LOWEST + " to " + (LOWEST + COUNT - 1));
    }

    private static boolean isFree(int port) throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
                DatagramSocket udp = new DatagramSocket(port, loopback)) {
            return tcp.isBound() && udp.isBound();
        } catch (BindException e) {
            return false;
        }
    }
}
