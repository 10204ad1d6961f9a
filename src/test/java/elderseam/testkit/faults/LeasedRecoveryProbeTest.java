package elderseam.testkit.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.fleet.lease.RecoveryProbeTask;
import elderseam.fleet.lease.RecoveryProbeTask.Standing;
import elderseam.fleet.lease.RecoveryProbeTask.Turn;
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

    @Test
    void theOthersLeaveTheTrialToTheHolderUntilItSaysThatItIsBack() {
        RecoveryProbeTask duty = new RecoveryProbeTask(2_000, 10_000);
        assertEquals(new Turn(false, false, false), duty.look(0, Standing.CLOSED, false, false));
        assertEquals(
                new Turn(true, false, false),
                duty.look(10, Standing.OPEN, false, false),
                "no word of the group: its own trial");
        assertEquals(new Turn(true, true, false), duty.look(20, Standing.HALF_OPEN, false, true));
        duty.back();
        assertEquals(new Turn(false, false, false), duty.look(40, Standing.HALF_OPEN, false, true));
        assertEquals(new Turn(false, false, false), duty.look(50, Standing.CLOSED, false, false));
        assertTrue(
                duty.look(60, Standing.OPEN, false, true).defers(),
                "what was said of one outage says nothing of the next");
    }

    @Test
    void aHolderTellsOnceAndOneWithNothingToTryGivesUp() {
        RecoveryProbeTask duty = new RecoveryProbeTask(2_000, 10_000);
        duty.look(0, Standing.OPEN, true, false);
        assertEquals(new Turn(false, false, true), duty.look(10, Standing.CLOSED, true, false));
        assertFalse(duty.look(20, Standing.CLOSED, true, false).tells());
        assertTrue(duty.look(30, Standing.HALF_OPEN, true, false).wants());
        assertTrue(duty.look(2_000, Standing.HALF_OPEN, true, false).wants());
        assertFalse(duty.look(2_100, Standing.HALF_OPEN, true, false).wants());
        assertFalse(duty.look(9_000, Standing.OPEN, false, false).wants());
        assertTrue(duty.look(12_200, Standing.OPEN, false, false).wants());
    }

    /** Calls that reach the failing partner in a span of an outage, while every member is asked for it all the time. */
    private static long callsInAnOutage(ProcessCluster c) throws Exception {
        List<String> at = new ArrayList<>();
        for (String name : c.group()) {
            at.add(c.member(name).ready());
        }
        c.outside().fail(true);
        feed(c, at, 5_000); // the breakers open, and the lease is taken
        long before = c.outside().failed();
        feed(c, at, 12_000);
        long calls = c.outside().failed() - before;
        c.outside().fail(false);
        long delivered = c.outside().delivered(), by = System.nanoTime() + 20_000_000_000L;
        while (c.outside().delivered() < delivered + 30) { // every member's breaker closes, or few would be delivered
            assertTrue(System.nanoTime() < by, "not delivered again after the outage");
            feed(c, at, 200);
        }
        return calls;
    }

    static void feed(ProcessCluster c, List<String> at, long ms) throws Exception {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until) {
            for (String member : at) {
                c.outside().send(member, 1).get(10, TimeUnit.SECONDS);
            }
            ProcessCluster.pause(50); // the traffic's own pace
        }
    }

    @Test
    void oneTriesForAll() throws Exception {
        long each, one;
        try (ProcessCluster c = new ProcessCluster(PLAN, folder.resolve("off"), ProcessCluster.Setup.OFF)) {
            each = callsInAnOutage(c);
        }
        try (ProcessCluster c = new ProcessCluster(
                PLAN, folder.resolve("on"), new ProcessCluster.Setup(true, "trials = one\n", true, true))) {
            assertTrue(c.acted(System.nanoTime() + 20_000_000_000L), "the group has a leader");
            one = callsInAnOutage(c);
            assertEquals(List.of(), HistoryCheckers.read(c.histories()).leaseSafety());
        }
        System.out.println("calls in 12 s of an outage: " + each + " each for itself, " + one + " one for all");
        assertTrue(5 * one <= 3 * each, one + " calls, " + each + " without the fleet");
    }
}
