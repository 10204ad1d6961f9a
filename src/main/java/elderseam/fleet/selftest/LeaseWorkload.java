package elderseam.fleet.selftest;

import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.fleet.lease.LeaseValidity;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * The workload of a fault test in a member's process: while the member holds a lease, it repeatedly writes to a store
 * with its fencing token. An operation consists of simulated work followed by one line sent to the store. If the
 * process stalls between the check of the lease and the sending of that line, the write is late, and only the store's
 * check of the fencing token can reject it.
 *
 * <p>Runs on its own daemon thread, which is the only one that uses the socket.
 */
public final class LeaseWorkload {
    private static final int NANOS_PER_MILLI = 1_000_000;

    private final ObjectMapper json = new ObjectMapper();
    private final InetSocketAddress storeAddress;
    private final String holderId;
    private final Function<String, Optional<LeaseValidity>> validity;
    private final long workNs;
    private final LongSupplier clock;
    private final FaultTestHistory history;
    private Socket socket;
    private BufferedReader responses;
    private long operationCount;

    /**
     * Starts the thread.
     *
     * @param storeAddress the address of the store
     * @param holder the holder id of this process
     * @param leases the names of the leases under which to write
     * @param validity returns the validity of a lease by name, empty while this member does not hold it; thread-safe
     * @param workNs the duration of the simulated work of an operation in nanoseconds
     * @param clock the member's monotonic clock in nanoseconds, to which validities refer
     * @param history the history to which the start and the outcome of each operation are appended
     */
    public LeaseWorkload(
            InetSocketAddress storeAddress,
            String holder,
            List<String> leases,
            Function<String, Optional<LeaseValidity>> validity,
            long workNs,
            LongSupplier clock,
            FaultTestHistory history) {
        this.storeAddress = storeAddress;
        this.holderId = holder;
        this.validity = validity;
        this.workNs = workNs;
        this.clock = clock;
        this.history = history;
        Thread thread = new Thread(() -> run(leases), "lease-workload");
        thread.setDaemon(true);
        thread.start();
    }

    private void run(List<String> leases) {
        while (true) {
            boolean idle = true;
            for (String lease : leases) {
                LeaseValidity leaseValidity = validity.apply(lease).orElse(null);
                long nowNs = clock.getAsLong();
                long expectedEndNs = nowNs + 2 * workNs; // the work, and the same time for the write
                if (leaseValidity != null && leaseValidity.mayAct(nowNs, expectedEndNs)) {
                    performOperation(lease, leaseValidity);
                    idle = false;
                }
            }
            if (idle) {
                LockSupport.parkNanos(workNs / 2);
            }
        }
    }

    private void performOperation(String lease, LeaseValidity leaseValidity) {
        long operationNumber = ++operationCount;
        operationEvent("act", lease, leaseValidity, operationNumber).append();
        LockSupport.parkNanos(workNs);
        try {
            boolean admitted = write(lease, leaseValidity, operationNumber);
            operationEvent(admitted ? "done" : "fenced", lease, leaseValidity, operationNumber)
                    .append();
        } catch (IOException e) { // whether the write took effect is unknown
            operationEvent("unsure", lease, leaseValidity, operationNumber)
                    .with("why", String.valueOf(e.getMessage()))
                    .append();
            disconnect();
        }
    }

    private FaultTestHistory.Event operationEvent(
            String type, String lease, LeaseValidity leaseValidity, long operationNumber) {
        return history.event(type)
                .with("lease", lease)
                .with("holder", holderId)
                .with("token", leaseValidity.token())
                .with("n", operationNumber);
    }

    /** Sends one write to the store and returns whether the store admitted its token. */
    private boolean write(String lease, LeaseValidity leaseValidity, long operationNumber) throws IOException {
        if (socket == null) {
            connect(leaseValidity);
        }
        socket.setSoTimeout(remainingMs(leaseValidity));
        String request = json.writeValueAsString(
                Map.of("lease", lease, "holder", holderId, "token", leaseValidity.token(), "n", operationNumber));
        socket.getOutputStream().write((request + "\n").getBytes(StandardCharsets.UTF_8));
        String response = responses.readLine();
        if (response == null) {
            throw new IOException("the store ended the connection");
        }
        return json.readTree(response).get("admitted").asBoolean();
    }

    private void connect(LeaseValidity leaseValidity) throws IOException {
        socket = new Socket();
        socket.connect(storeAddress, remainingMs(leaseValidity));
        responses = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    /** Returns the milliseconds until the lease expires, at least 1, because 0 disables the timeout of a socket. */
    private int remainingMs(LeaseValidity leaseValidity) {
        return (int) Math.max(1, (leaseValidity.expiresAtNs() - clock.getAsLong()) / NANOS_PER_MILLI);
    }

    private void disconnect() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // ignored: the connection is not used again
        }
        socket = null;
    }
}
