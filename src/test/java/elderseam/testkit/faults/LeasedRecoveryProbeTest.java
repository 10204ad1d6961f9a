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
    private static long callsInAnOutage(ProcessCluster c) throws Exception {
        List<String> at = new ArrayList<>();
        for (String name : c.group()) {
            at.add(c.member(name).ready());
        }
        c.services().setFailing(true);
        feed(c, at, 5_000); // the breakers open, and the lease is taken
        long before = c.services().failed();
        feed(c, at, 12_000);
        long calls = c.services().failed() - before;
        c.services().setFailing(false);
        long delivered = c.services().delivered();
        long by = System.nanoTime() + 20_000_000_000L;
        while (c.services().delivered() < delivered + 30) { // every member's breaker closes, or few would be delivered
            assertTrue(System.nanoTime() < by, "not delivered again after the outage");
            feed(c, at, 200);
        }
        return calls;
    }

    static void feed(ProcessCluster c, List<String> at, long ms) throws Exception {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until) {
            for (String member : at) {
                c.services().send(member, 1).get(10, TimeUnit.SECONDS);
            }
            Waits.sleep(50); // the traffic's own pace
        }
    }

    @Test
    void oneTriesForAll() throws Exception {
        long each;
        long one;
        try (ProcessCluster c = new ProcessCluster(PLAN, folder.resolve("off"), ClusterSetup.OFF)) {
            each = callsInAnOutage(c);
        }
        try (ProcessCluster c =
                new ProcessCluster(PLAN, folder.resolve("on"), ClusterSetup.withLeases("trials = one\n", true, true))) {
            assertTrue(c.awaitAct(System.nanoTime() + 20_000_000_000L), "the group has a leader");
            one = callsInAnOutage(c);
            assertEquals(List.of(), HistoryCheckers.read(c.histories()).leaseSafety());
        }
        System.out.println("calls in 12 s of an outage: " + each + " each for itself, " + one + " one for all");
        assertTrue(5 * one <= 3 * each, one + " calls, " + each + " without the fleet");
    }
}
