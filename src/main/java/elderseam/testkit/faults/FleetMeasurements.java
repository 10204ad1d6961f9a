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
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import org.HdrHistogram.Histogram;

/**
 * What the fleet's part costs and saves, off and on in one run: the same processes with the same stand-ins, first without
 * and then with the leases and the one watch of discovery.
 */
public final class FleetMeasurements {
    private static final int SPAN_S = 10;

    private FleetMeasurements() {}

    /** Figures by name; times in milliseconds, memory in kB of each process, calls a second over all of them. */
    public static Map<String, Object> measure(int members, Path folder) throws IOException {
        Map<String, Object> f = new LinkedHashMap<>();
        FaultSchedule leases = FaultSchedule.leases();
        FaultSchedule plan = new FaultSchedule(members, 5_000, 5, 500, leases.roundMs(), Map.of(), List.of());
        f.put("members", members);
        processes(f, "off", new ProcessCluster(plan, folder.resolve("off"), ClusterSetup.OFF));
        processes(
                f,
                "on",
                new ProcessCluster(
                        plan, folder.resolve("on"), ClusterSetup.withLeases("discovery = one\n", false, true)));
        operations(f, members, folder.resolve("group"));
        return f;
    }

    private static void processes(Map<String, Object> f, String word, ProcessCluster cluster) throws IOException {
        try (ProcessCluster c = cluster) {
            if (word.equals("on")) {
                c.awaitLastEvent(
                        "discovery.",
                        "discovery.watch_delegated",
                        c.group().size() - 1,
                        System.nanoTime() + 30_000_000_000L);
            }
            long lists = c.services().lists();
            long cpu = cpu(c);
            Waits.sleep(SPAN_S * 1_000L); // the span that is measured
            f.put("discovery_calls_per_s_" + word, (double) (c.services().lists() - lists) / SPAN_S);
            f.put(
                    "idle_cpu_percent_" + word,
                    (double) (cpu(c) - cpu) / SPAN_S / c.group().size());
            Histogram ready = new Histogram(600_000L, 3);
            Histogram memory = new Histogram(64_000_000L, 3);
            Histogram threads = new Histogram(10_000L, 3);
            for (String name : c.group()) {
                ClusterMember m = c.member(name);
                ready.recordValue(m.startMs());
                memory.recordValue(m.status("VmRSS"));
                threads.recordValue(m.status("Threads"));
            }
            f.put("ready_ms_" + word, ready.getValueAtPercentile(50));
            f.put("memory_kb_" + word, memory.getValueAtPercentile(50));
            f.put("threads_" + word, threads.getValueAtPercentile(50));
        }
    }

    /** Hundredths of a second of processor time that the members have used. */
    private static long cpu(ProcessCluster c) throws IOException {
        long all = 0;
        for (String name : c.group()) {
            all += c.member(name).ticks();
        }
        return all;
    }

    /** Requests for a lease, one after the other, at a group whose members share this process. */
    private static void operations(Map<String, Object> f, int members, Path folder) throws IOException {
        Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
        for (int i = 1; i <= members; i++) {
            InetAddress here = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
            try (ServerSocket free = new ServerSocket(0, 1, here)) {
                peers.put("m" + i, new InetSocketAddress(here, free.getLocalPort()));
            }
        }
        Map<String, LeaseGroup> group = new LinkedHashMap<>();
        Histogram took = new Histogram(60_000_000L, 3); // microseconds
        try {
            for (String name : peers.keySet()) {
                group.put(
                        name,
                        LeaseGroup.start(new LeaseGroupConfiguration(
                                "figures",
                                name,
                                peers.get(name),
                                peers,
                                folder.resolve(name),
                                500,
                                "1",
                                System::nanoTime,
                                new LeaseStateMachine.Listener() {},
                                LeaseGroupConfiguration.DEFAULT_COMMANDS_PER_SNAPSHOT)));
            }
            LeaseGroup asking = group.values().iterator().next();
            long began = 0;
            for (int n = 0; n < 2_200; n++) {
                if (n == 200) { // those before it warm up, and wait for the first leader
                    began = System.nanoTime();
                }
                long sent = System.nanoTime();
                try {
                    asking.acquire("lease" + n % 10, 5_000).get();
                    if (n >= 200) {
                        took.recordValue((System.nanoTime() - sent) / 1_000);
                    }
                } catch (ExecutionException e) {
                    n = Math.min(n, 199); // no leader yet: begun anew
                }
            }
            f.put("lease_ops_per_s", Math.round(took.getTotalCount() / ((System.nanoTime() - began) / 1e9)));
            f.put("lease_op_us_p50", took.getValueAtPercentile(50));
            f.put("lease_op_us_p99", took.getValueAtPercentile(99));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } finally {
            for (LeaseGroup g : group.values()) {
                g.close();
            }
        }
    }
}
