package elderseam.testkit.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;

/** One member watches discovery for all, on three real processes: fewer calls, and news reach everybody over a crash of the one. */
@ResourceLock("rig two") // each class starts some processes: two classes at a time
class LeasedDiscoveryWatchTest {
    private static final FaultSchedule PLAN = new FaultSchedule(3, 1_200, 5, 150, 1_000, Map.of(), List.of());
    private static final int SECONDS = 3;

    @TempDir
    Path folder;

    private static long callsIn(ProcessCluster cluster, int seconds) throws Exception {
        long before = cluster.services().listRequests();
        Waits.sleep(seconds * 1_000L); // the span that is measured
        return cluster.services().listRequests() - before;
    }

    /** A new destination's message is taken by each member, once the list that has it has come there. */
    private static void allLearnOf(ProcessCluster cluster, int destination) throws Exception {
        for (String name : cluster.group()) {
            long deadline = Waits.deadlineInSeconds(20);
            while (cluster.services()
                            .send(cluster.member(name).ready(), destination)
                            .get(10, TimeUnit.SECONDS)
                    != 202) {
                assertTrue(System.nanoTime() < deadline, name + " does not know destination " + destination);
                Waits.sleep(20);
            }
        }
    }

    @Test
    void oneWatchesForAllAndAnotherAfterIt() throws Exception {
        long each;
        try (ProcessCluster cluster = new ProcessCluster(PLAN, folder.resolve("off"), ClusterSetup.OFF)) {
            each = callsIn(cluster, SECONDS);
        }
        try (ProcessCluster cluster = new ProcessCluster(
                PLAN, folder.resolve("on"), ClusterSetup.withLeases("discovery = one\n", true, true))) {
            assertTrue(
                    cluster.awaitLastEvent("discovery.", "discovery.watch_delegated", 2, Waits.deadlineInSeconds(20)),
                    "two members leave the watch to the third");
            long one = callsIn(cluster, SECONDS);
            assertTrue(2 * one <= each, one + " calls in " + SECONDS + " s, " + each + " without the fleet");
            allLearnOf(cluster, cluster.services().addDestination());
            String watcher = cluster.group().stream()
                    .filter(name -> !cluster.membersWithLastEvent("discovery.", "discovery.watch_delegated")
                            .contains(name))
                    .findFirst()
                    .orElseThrow();
            cluster.inject(FaultInjection.parse(0, "crash " + watcher));
            assertTrue(
                    cluster.awaitLastEvent("discovery.", "discovery.watch_started", 1, Waits.deadlineInSeconds(30)),
                    "one of the others takes the watch over");
            cluster.heal(true);
            allLearnOf(cluster, cluster.services().addDestination());
            assertEquals(List.of(), HistoryCheckers.read(cluster.histories()).leaseSafety());
        }
    }
}
