package elderseam.testkit.faults;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measures what a fleet costs and saves, in one run: the same processes with the same stand-ins, first without and then with
 * leases and one watch of discovery for all.
 */
public final class FleetMeasurements {
    private static final int SPAN_S = 10;
    private static final long LEASE_TTL_MS = 5_000;
    private static final int DRIFT_PERCENT = 5;
    private static final long ELECTION_MS = 500;
    private static final long WATCH_TIMEOUT_NS = 30_000 * Waits.NANOS_PER_MS;
    private static final long MAX_READY_MS = 600_000;
    private static final long MAX_MEMORY_KB = 64_000_000;
    private static final long MAX_THREADS = 10_000;

    private FleetMeasurements() {}

    /** Figures by name; times in milliseconds, memory in kB of each process, calls a second over all of them. */
    public static Map<String, Object> measure(int members, Path folder) throws IOException {
        Map<String, Object> figures = new LinkedHashMap<>();
        long roundMs = FaultSchedule.leases().roundMs();
        FaultSchedule schedule =
                new FaultSchedule(members, LEASE_TTL_MS, DRIFT_PERCENT, ELECTION_MS, roundMs, Map.of(), List.of());
        figures.put("members", members);
        try (ProcessCluster cluster = new ProcessCluster(schedule, folder.resolve("off"), ClusterSetup.OFF)) {
            measureProcesses(figures, "off", cluster);
        }
        ClusterSetup oneWatch = ClusterSetup.withLeases("discovery = one\n", false, true);
        try (ProcessCluster cluster = new ProcessCluster(schedule, folder.resolve("on"), oneWatch)) {
            int delegating = cluster.group().size() - 1;
            cluster.awaitLastEvent(
                    "discovery.", "discovery.watch_delegated", delegating, System.nanoTime() + WATCH_TIMEOUT_NS);
            measureProcesses(figures, "on", cluster);
        }
        figures.putAll(LeaseOperationMeasurement.measure(members, folder.resolve("group")));
        return figures;
    }

    private static void measureProcesses(Map<String, Object> figures, String suffix, ProcessCluster cluster)
            throws IOException {
        List<String> group = cluster.group();
        long listsBefore = cluster.services().listRequests();
        long ticksBefore = processorTicks(cluster);
        Waits.sleep(SPAN_S * 1_000L); // the span that is measured
        long lists = cluster.services().listRequests() - listsBefore;
        figures.put("discovery_calls_per_s_" + suffix, (double) lists / SPAN_S);
        long ticks = processorTicks(cluster) - ticksBefore;
        figures.put("idle_cpu_percent_" + suffix, (double) ticks / SPAN_S / group.size());
        Histogram readyMs = new Histogram(MAX_READY_MS, 3);
        Histogram memoryKb = new Histogram(MAX_MEMORY_KB, 3);
        Histogram threads = new Histogram(MAX_THREADS, 3);
        for (String name : group) {
            ClusterMember member = cluster.member(name);
            readyMs.recordValue(member.startMs());
            memoryKb.recordValue(member.status("VmRSS"));
            threads.recordValue(member.status("Threads"));
        }
        figures.put("ready_ms_" + suffix, readyMs.getValueAtPercentile(50));
        figures.put("memory_kb_" + suffix, memoryKb.getValueAtPercentile(50));
        figures.put("threads_" + suffix, threads.getValueAtPercentile(50));
    }

    /** Hundredths of a second of processor time that the members have used. */
    private static long processorTicks(ProcessCluster cluster) throws IOException {
        long ticks = 0;
        for (String name : cluster.group()) {
            ticks += cluster.member(name).processorTicks();
        }
        return ticks;
    }
}
