package elderseam.testkit.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;

/** Choices of eight real processes that add up: even subsets, limits divided by who is there, one trial by turns. Off and on in one run. */
@ResourceLock("rig two") // each class starts some processes: two classes at a time
class PartitionProcessTest {
    private static final String SHARES =
            "[shares]\nmembers = gossip\nhold_s = 2\nendpoint_connections = 2\nconnections_each = 1\n";

    @TempDir
    Path folder;

    private static FaultSchedule plan(int members) {
        return new FaultSchedule(members, 1_200, 5, 150, 1_000, Map.of(), List.of());
    }

    private static List<String> living(ProcessCluster cluster) {
        return cluster.livingMembers();
    }

    /** The most calls at an endpoint over the mean, of so many messages handed in at each member, one after the other. */
    private static double unevenness(ProcessCluster cluster, int messages) throws Exception {
        long[] before = cluster.services().calls();
        for (int i = 0; i < messages; i++) {
            for (String name : living(cluster)) {
                assertEquals(
                        202,
                        cluster.services().send(cluster.member(name).ready(), 1).get(10, TimeUnit.SECONDS));
            }
        }
        long sum = 0;
        long delivered = Waits.deadlineInSeconds(10);
        long[] now = cluster.services().calls();
        while ((sum = Arrays.stream(now).sum() - Arrays.stream(before).sum())
                < (long) messages * living(cluster).size()) {
            assertTrue(System.nanoTime() < delivered, sum + " calls");
            Waits.sleep(20); // the calls follow their answers
            now = cluster.services().calls();
        }
        long most = 0;
        for (int i = 0; i < now.length; i++) {
            most = Math.max(most, now[i] - before[i]);
        }
        return most * (double) now.length / sum;
    }

    /** Waits until so many members see so many, and divide limits by as many. */
    private static void assertAllSee(ProcessCluster cluster, int members, int timeoutSeconds, String message)
            throws Exception {
        String event = "partition.changed members=" + members + " limit_divisor=" + members;
        long deadline = Waits.deadlineInSeconds(timeoutSeconds);
        assertTrue(cluster.awaitLastEvent("partition.", event, members, deadline), message);
    }

    @Test
    void aHerdIsSeenAndSubsetsStayEven() throws Exception {
        double off;
        double on;
        try (ProcessCluster cluster = new ProcessCluster(plan(8), folder.resolve("off"), ClusterSetup.OFF, 4)) {
            off = unevenness(cluster, 20);
        }
        try (ProcessCluster cluster =
                new ProcessCluster(plan(8), folder.resolve("on"), ClusterSetup.withGossip(SHARES), 4)) {
            assertAllSee(cluster, 8, 30, "all see all");
            on = unevenness(cluster, 20);
            System.out.println("most calls at an endpoint over the mean, 8 members, 4 endpoints: " + off
                    + " each for itself, " + on + " by subsets");
            assertTrue(on < 1.15, on + " by subsets, " + off + " without");
            for (int i = 4; i <= 8; i++) {
                cluster.inject(FaultInjection.parse(0, "crash n" + i));
            }
            long from = System.nanoTime();
            assertTrue(unevenness(cluster, 5) > 0, "the three that are left deliver all the same");
            assertAllSee(cluster, 3, 45, "a herd that has gone");
            System.out.println("seen after " + (System.nanoTime() - from) / 1_000_000 + " ms, of which 2 s are held");
            cluster.heal(true);
            assertAllSee(cluster, 8, 30, "and come back");
            assertTrue(unevenness(cluster, 20) < 1.15);
        }
    }

    private static long callsInAnOutage(ProcessCluster cluster) throws Exception {
        List<String> at = new ArrayList<>();
        for (String name : cluster.group()) {
            at.add(cluster.member(name).ready());
        }
        cluster.services().setFailing(true);
        LeasedRecoveryProbeTest.feed(cluster, at, 4_000);
        long before = cluster.services().failed();
        LeasedRecoveryProbeTest.feed(cluster, at, 8_000);
        long calls = cluster.services().failed() - before;
        cluster.services().setFailing(false);
        long delivered = cluster.services().delivered();
        long until = Waits.deadlineInSeconds(20);
        while (cluster.services().delivered()
                < delivered + 40) { // more than one member could deliver in the time alone
            assertTrue(System.nanoTime() < until, "not delivered again after the outage");
            LeasedRecoveryProbeTest.feed(cluster, at, 200);
        }
        return calls;
    }

    /** The trial by turns needs datagrams alone; while links lose a third of them it is still no more than each for itself. */
    @Test
    void oneTriesByTurns() throws Exception {
        long each;
        long one;
        try (ProcessCluster cluster = new ProcessCluster(plan(4), folder.resolve("off"), ClusterSetup.withGossip(""))) {
            each = callsInAnOutage(cluster);
        }
        try (ProcessCluster cluster = new ProcessCluster(
                plan(4), folder.resolve("on"), ClusterSetup.withGossip("[shares]\nmembers = gossip\ntrials = one\n"))) {
            assertAllSee(cluster, 4, 30, "all see all");
            cluster.inject(FaultInjection.parse(0, "lose 30"));
            one = callsInAnOutage(cluster);
        }
        System.out.println("calls in 8 s of an outage: " + each + " each for itself, " + one + " by turns");
        assertTrue(5 * one <= 3 * each, one + " calls by turns, " + each + " each for itself");
    }
}
