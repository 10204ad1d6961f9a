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

/** The hard cases of a lease, each on three real processes of the program with a fault proxy between them. */
@ResourceLock("rig one") // each class starts some processes: two classes at a time
class LeaseFaultCasesTest {
    private static final long MESSAGE_DEADLINE_NS = 3_500_000_000L; // what each message is sent with

    @TempDir
    Path folder;

    private static FaultSchedule plan(long roundMs, String... faults) {
        List<FaultInjection> all = new ArrayList<>();
        for (String fault : faults) {
            all.add(FaultInjection.parse(
                    Long.parseLong(fault.substring(0, fault.indexOf(' '))), fault.substring(fault.indexOf(' ') + 1)));
        }
        return new FaultSchedule(3, 1_200, 5, 150, roundMs, Map.of("n1", 105), all);
    }

    private LeaseTestRun.Result play(int rounds, long roundMs, String... faults) throws Exception {
        LeaseTestRun.Result result = LeaseTestRun.run(
                plan(roundMs, faults), new LeaseTestRun.Terms("leases", rounds, 1, null, folder), System.out::println);
        assertEquals(List.of(), result.violations());
        return result;
    }

    private static long figure(LeaseTestRun.Result result, String name) {
        return ((Number) result.figures().get(name)).longValue();
    }

    @Test
    void aPartitionCutsLeaderAndHolderOff() throws Exception {
        play(2, 3_000, "0 partition holder leader");
    }

    /** The long pause: its last act was begun in its term, and reaches the store when another acts by a newer token. */
    @Test
    void aHolderStalledPastItsTermIsFencedOff() throws Exception {
        assertTrue(figure(play(3, 5_000, "300 stall holder 4500"), "acts_fenced") > 0);
    }

    @Test
    void theLeaderIsKilledInTheMiddleOfRenewals() throws Exception {
        play(2, 1_500, "450 crash leader");
    }

    @Test
    void allAreKilledAtOnceAndComeBackOnTheirFolders() throws Exception {
        assertTrue(figure(play(2, 500, "300 crash all"), "takeovers") > 0, "the tokens outlast every process");
    }

    @Test
    void aLinkIsLostOneWayOnly() throws Exception {
        play(2, 3_000, "0 mute holder", "1500 reset", "1600 deafen leader");
    }

    @Test
    void aMemberIsReplacedWhileALeaseIsHeld() throws Exception {
        play(2, 2_500, "200 replace holder", "400 crash leader");
    }

    /** A planned end gives the lease back: the next holder does not wait for the term, which would take 12 s and more. */
    @Test
    void aHolderThatIsToldToEndGivesItsLeaseBack() throws Exception {
        FaultSchedule slow =
                new FaultSchedule(3, 12_000, 5, 150, 100, Map.of(), List.of(FaultInjection.parse(0, "end holder")));
        LeaseTestRun.Result result =
                LeaseTestRun.run(slow, new LeaseTestRun.Terms("leases", 1, 1, null, folder), System.out::println);
        assertEquals(List.of(), result.violations());
        assertTrue(
                figure(result, "takeovers") == 1 && figure(result, "takeover_ms_p50") < 4_000,
                result.figures()::toString);
    }

    /** Sends a message and waits until the partner has it, so that the quota of messages held is never reached. */
    private static void sendAndAwaitDelivery(ProcessCluster cluster, String member) throws Exception {
        long deliveredBefore = cluster.services().delivered();
        int code = cluster.services().send(cluster.member(member).ready(), 1).get(10, TimeUnit.SECONDS);
        assertEquals(202, code);
        long deadline = System.nanoTime() + MESSAGE_DEADLINE_NS;
        while (cluster.services().delivered() == deliveredBefore) {
            assertTrue(System.nanoTime() < deadline, "accepted, but not delivered before its deadline");
            Waits.sleep(1);
        }
    }

    /** No lease without a majority; messages are served all the same. */
    @Test
    void withoutAMajorityNothingIsGrantedAndMessagesAreServed() throws Exception {
        try (ProcessCluster cluster = new ProcessCluster(plan(1_000), folder, ClusterSetup.DEFAULT)) {
            assertTrue(cluster.awaitAct(Waits.deadlineInSeconds(20)));
            cluster.inject(FaultInjection.parse(0, "crash n2"));
            cluster.inject(FaultInjection.parse(0, "crash n3"));
            Waits.sleep(1_500); // the longest that a lease which is held can last, and more
            long granted = HistoryCheckers.read(cluster.histories()).count("granted");
            long until = System.nanoTime() + 2_500_000_000L;
            while (System.nanoTime() < until) {
                sendAndAwaitDelivery(cluster, "n1");
            }
            assertEquals(
                    granted,
                    HistoryCheckers.read(cluster.histories()).count("granted"),
                    "nothing was granted without a majority");
            assertTrue(cluster.member("n1").ask("FLEET").contains("=not held"));
            assertTrue(cluster.services().delivered() > 0);
            cluster.heal(true);
            assertTrue(cluster.awaitAct(Waits.deadlineInSeconds(20)), "held again after the others are back");
            assertEquals(List.of(), HistoryCheckers.read(cluster.histories()).leaseSafety());
        }
    }
}
