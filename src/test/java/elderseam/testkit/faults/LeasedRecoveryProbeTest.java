package elderseam.testkit.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;

/** One member tries a failing destination for all: the decision, and three real processes with it off and on. */
@ResourceLock("rig one") // each class starts some processes: two classes at a time
class LeasedRecoveryProbeTest {
    private static final FaultSchedule PLAN = new FaultSchedule(3, 1_200, 5, 150, 1_000, Map.of(), List.of());

    @TempDir
    Path folder;

    /** Calls that reach the failing partner in a span of an outage, while every member is asked for it all the time. */
    private static long callsInAnOutage(ProcessCluster cluster) throws Exception {
        List<String> at = new ArrayList<>();
        for (String name : cluster.group()) {
            at.add(cluster.member(name).ready());
        }
        cluster.services().setFailing(true);
        feed(cluster, at, 5_000); // the breakers open, and the lease is taken
        long before = cluster.services().failed();
        feed(cluster, at, 12_000);
        long calls = cluster.services().failed() - before;
        cluster.services().setFailing(false);
        long delivered = cluster.services().delivered();
        long deadline = Waits.deadlineInSeconds(20);
        while (cluster.services().delivered()
                < delivered + 30) { // every member's breaker closes, or few would be delivered
            assertTrue(System.nanoTime() < deadline, "not delivered again after the outage");
            feed(cluster, at, 200);
        }
        return calls;
    }

    static void feed(ProcessCluster cluster, List<String> at, long ms) throws Exception {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until) {
            for (String member : at) {
                cluster.services().send(member, 1).get(10, TimeUnit.SECONDS);
            }
            Waits.sleep(50); // the traffic's own pace
        }
    }

    @Test
    void oneTriesForAll() throws Exception {
        long each;
        long one;
        try (ProcessCluster cluster = new ProcessCluster(PLAN, folder.resolve("off"), ClusterSetup.OFF)) {
            each = callsInAnOutage(cluster);
        }
        try (ProcessCluster cluster =
                new ProcessCluster(PLAN, folder.resolve("on"), ClusterSetup.withLeases("trials = one\n", true, true))) {
            assertTrue(cluster.awaitAct(Waits.deadlineInSeconds(20)), "the group has a leader");
            one = callsInAnOutage(cluster);
            assertEquals(List.of(), HistoryCheckers.read(cluster.histories()).leaseSafety());
        }
        System.out.println("calls in 12 s of an outage: " + each + " each for itself, " + one + " one for all");
        assertTrue(5 * one <= 3 * each, one + " calls, " + each + " without the fleet");
    }
}
