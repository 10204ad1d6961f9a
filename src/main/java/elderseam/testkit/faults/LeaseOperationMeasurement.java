package elderseam.testkit.faults;

import elderseam.fleet.lease.LeaseGroup;
import elderseam.fleet.lease.LeaseGroupConfiguration;
import elderseam.fleet.lease.LeaseStateMachine;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import org.HdrHistogram.Histogram;

/** Measures requests for a lease, one after the other, at a lease group whose members share this process. */
final class LeaseOperationMeasurement {
    private static final int WARM_UP_REQUESTS = 200;
    private static final int REQUESTS = 2_200; // those of the warm-up included
    private static final int LEASES = 10;
    private static final long TTL_MS = 5_000;
    private static final int ELECTION_MS = 500;
    private static final long MAX_MICROS = 60_000_000;

    private LeaseOperationMeasurement() {}

    /** Figures by name: requests a second, and microseconds that one takes. */
    static Map<String, Object> measure(int members, Path folder) throws IOException {
        Map<String, InetSocketAddress> peers = freeAddresses(members);
        Map<String, LeaseGroup> group = new LinkedHashMap<>();
        try {
            for (String name : peers.keySet()) {
                group.put(name, start(name, peers, folder.resolve(name)));
            }
            return measure(group.values().iterator().next());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } finally {
            for (LeaseGroup member : group.values()) {
                member.close();
            }
        }
    }

    private static Map<String, InetSocketAddress> freeAddresses(int count) throws IOException {
        InetAddress loopback = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (int number = 1; number <= count; number++) {
            try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
                addresses.put("m" + number, new InetSocketAddress(loopback, free.getLocalPort()));
            }
        }
        return addresses;
    }

    private static LeaseGroup start(String name, Map<String, InetSocketAddress> peers, Path folder) throws IOException {
        return LeaseGroup.start(new LeaseGroupConfiguration(
                "figures",
                name,
                peers.get(name),
                peers,
                folder,
                ELECTION_MS,
                "1",
                System::nanoTime,
                new LeaseStateMachine.Listener() {},
                LeaseGroupConfiguration.DEFAULT_COMMANDS_PER_SNAPSHOT));
    }

    private static Map<String, Object> measure(LeaseGroup member) throws InterruptedException {
        Histogram micros = new Histogram(MAX_MICROS, 3);
        long beganNs = 0;
        int request = 0;
        while (request < REQUESTS) {
            if (request == WARM_UP_REQUESTS) {
                beganNs = System.nanoTime();
            }
            long sentNs = System.nanoTime();
            try {
                member.acquire("lease" + request % LEASES, TTL_MS).get();
                if (request >= WARM_UP_REQUESTS) {
                    micros.recordValue((System.nanoTime() - sentNs) / 1_000);
                }
            } catch (ExecutionException e) {
                request = Math.min(request, WARM_UP_REQUESTS - 1); // no leader: the measured part begins anew
            }
            request++;
        }
        double seconds = (System.nanoTime() - beganNs) / 1e9;
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("lease_ops_per_s", Math.round(micros.getTotalCount() / seconds));
        figures.put("lease_op_us_p50", micros.getValueAtPercentile(50));
        figures.put("lease_op_us_p99", micros.getValueAtPercentile(99));
        return figures;
    }
}
