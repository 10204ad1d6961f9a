package elderseam.testkit.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.fleet.config.ConfigurationVersion;
import elderseam.fleet.config.VersionStore;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;

/** Versions that three real processes agree on, while faults are injected. */
@ResourceLock("rig one") // each class starts some processes: two classes at a time
class VersionFaultCasesTest {
    private static final int RATE = 1; // of a rule that refuses nearly all
    private static final String IN_DOUBT = "configuration.version_in_doubt";

    @TempDir
    Path folder;

    private LeaseTestRun.Result play(String plant, int rounds) throws Exception {
        return LeaseTestRun.run(
                new LeaseTestRun.Terms("versions", rounds, 11, plant, folder.resolve(plant == null ? "right" : plant)),
                System.out::println);
    }

    @Test
    void noTwoActOnContradictingVersionsUnderANemesis() throws Exception {
        LeaseTestRun.Result result = play(null, 3);
        assertEquals(List.of(), result.violations());
        System.out.println("versions: " + result.figures());
    }

    @Test
    void whatIsPlantedIsFound() throws Exception {
        assertFalse(
                play("no-confirm", 2).violations().isEmpty(),
                "a member that is cut off acts on the old version without end");
    }

    private ProcessCluster cluster(Map<String, Integer> clocks) throws Exception {
        ProcessCluster cluster = new ProcessCluster(
                new FaultSchedule(3, 1_200, 5, 150, 1_000, clocks, List.of()),
                folder.resolve("c"),
                VersionTestRun.setup(null));
        VersionProposals.awaitAgreement(cluster, Waits.deadlineInSeconds(30));
        return cluster;
    }

    private static String value(ProcessCluster cluster, String member, String name) throws Exception {
        return VersionProposals.value(cluster, member, name);
    }

    private static int send(ProcessCluster cluster, String member) throws Exception {
        return cluster.services().send(cluster.member(member).ready(), 1).get(10, TimeUnit.SECONDS);
    }

    /**
     * A member accepts a request. A rejection is right only where its log tells of a new doubt, as after a stall that outlasts the
     * bound; such a member has to be out of doubt again, and to accept, within 10 s.
     */
    private static void assertServes(ProcessCluster cluster, String member, String when) throws Exception {
        long until = Waits.deadlineInSeconds(10);
        long doubts;
        int code;
        do {
            while (value(cluster, member, "doubt").equals("yes")) {
                assertTrue(System.nanoTime() < until, when + ": still in doubt");
                Waits.sleep(20);
            }
            doubts = cluster.eventCount(member, IN_DOUBT);
            code = send(cluster, member);
        } while (code == 503 && System.nanoTime() < until && awaitDoubtAfter(cluster, member, doubts));
        assertEquals(202, code, when);
    }

    /** Whether a member has logged more doubts than that many; its log may come some time after its answer. */
    private static boolean awaitDoubtAfter(ProcessCluster cluster, String member, long doubts) throws Exception {
        long until = Waits.deadlineInSeconds(1);
        while (cluster.eventCount(member, IN_DOUBT) <= doubts) {
            if (System.nanoTime() > until) {
                return false;
            }
            Waits.sleep(20);
        }
        return true;
    }

    /** Proposes, and waits until all act on it. */
    private static void adopted(ProcessCluster cluster, String at, Path file) throws Exception {
        String hash = VersionProposals.propose(cluster, at, file, "a test's");
        assertFalse(hash.isEmpty());
        long until = Waits.deadlineInSeconds(30);
        while (!VersionProposals.awaitAgreement(cluster, until).equals(hash)) {
            assertTrue(
                    System.nanoTime() < until,
                    "not adopted: " + cluster.member(at).ask("CONFIG"));
            Waits.sleep(20);
        }
    }

    /**
     * Proposes until these members act on the version of that number. A proposal may be refused for now, since the version
     * before it has yet to take effect by the time of the leader, which is another one since the partition.
     */
    private static void proposeUntilActing(
            ProcessCluster cluster, String at, Path file, String number, String... members) throws Exception {
        long until = Waits.deadlineInSeconds(30);
        String hash = "";
        while (!allAct(cluster, number, members)) {
            assertTrue(
                    System.nanoTime() < until,
                    "not acting on it: " + cluster.member(at).ask("CONFIG"));
            String refused = value(cluster, at, "refused");
            if (hash.isEmpty() || refused.startsWith(hash + " ")) {
                assertTrue(hash.isEmpty() || refused.contains("ask again then"), refused);
                hash = VersionProposals.propose(cluster, at, file, "without n1");
                assertFalse(hash.isEmpty());
            }
            Waits.sleep(20); // members answer questions, and report no change by themselves
        }
    }

    private static boolean allAct(ProcessCluster cluster, String number, String... members) throws Exception {
        for (String member : members) {
            if (!value(cluster, member, "acting").startsWith(number)) {
                return false;
            }
        }
        return true;
    }

    private static List<String> disagreements(ProcessCluster cluster) throws Exception {
        return HistoryCheckers.read(cluster.histories())
                .agreement(
                        VersionTestRun.BOUND_MS + VersionTestRun.BOUND_TOLERANCE_MS,
                        VersionTestRun.SWITCH_TOLERANCE_MS);
    }

    /** Writes a version whose rules refuse nearly all; its file. */
    private static Path writeStrictVersion(Path folder) throws Exception {
        Files.createDirectories(folder);
        Files.writeString(
                folder.resolve("few.rules"),
                "[limit few]\nrate_per_s = " + RATE
                        + "\nburst = 1\n[table all]\nmatch = first\n[rule all]\nwhen = true\nlimit = few\n");
        return Files.writeString(folder.resolve("version.ini"), "[rules]\nfiles = few.rules\n");
    }

    /** Waits for this member's own doubt: another one may be in doubt for a moment, where the machine is busy. */
    private static void awaitDoubt(ProcessCluster cluster, String member, long untilNs) throws Exception {
        while (!value(cluster, member, "doubt").equals("yes")) {
            assertTrue(System.nanoTime() < untilNs, member + " is not in doubt");
            Waits.sleep(20);
        }
    }

    /** The side that is cut off refuses new work from T on, and the others act on the newer version; afterwards all do. */
    @Test
    void theSideThatIsCutOffGoesIntoDoubtAndARestartFromAnOldFolderDoesNotActOnIt() throws Exception {
        try (ProcessCluster cluster = cluster(Map.of("n1", 105))) {
            adopted(cluster, "n2", VersionTestRun.writeVersion(cluster, 0));
            assertServes(cluster, "n1", "before the partition");
            cluster.inject(FaultInjection.parse(0, "isolate n1"));
            assertTrue(cluster.awaitLastEvent(
                    "configuration.",
                    "configuration.version_in_doubt rejects_requests=true fault=none",
                    1,
                    Waits.deadlineInSeconds(10)));
            awaitDoubt(cluster, "n1", Waits.deadlineInSeconds(10));
            assertEquals(503, send(cluster, "n1"), "a rule may say otherwise by now");
            proposeUntilActing(cluster, "n2", VersionTestRun.writeVersion(cluster, 1), "2 ", "n2", "n3");
            assertServes(cluster, "n2", "the side with the majority serves");
            assertTrue(value(cluster, "n1", "acting").startsWith("1 ")
                    && value(cluster, "n1", "doubt").equals("yes"));
            cluster.inject(FaultInjection.parse(0, "crash n1"));
            cluster.inject(
                    FaultInjection.parse(0, "restart")); // on its folder, two versions behind by now, and still cut off
            assertEquals(503, send(cluster, "n1"), "what it acted on last is not acted on before it is confirmed");
            cluster.heal(true);
            VersionProposals.awaitAgreement(cluster, Waits.deadlineInSeconds(30));
            assertTrue(value(cluster, "n1", "acting").startsWith("2 "));
            assertServes(cluster, "n1", "after the heal");
            assertEquals(List.of(), disagreements(cluster));
        }
        List<ConfigurationVersion> kept = new VersionStore(folder.resolve("c/n1/state/versions")).loadAll();
        assertEquals(
                List.of(1L, 2L),
                kept.stream().map(ConfigurationVersion::number).toList(),
                "what a folder tells offline");
    }

    /** Two proposals at once, one that a member can't use, and the way back. */
    @Test
    void oneProposalWinsOneThatFailsAnywhereIsRefusedForAllAndARollbackIsANewVersion() throws Exception {
        try (ProcessCluster cluster = cluster(Map.of())) {
            Path strict = cluster.folder().resolve("strict");
            Path few = writeStrictVersion(strict);
            String one = VersionProposals.propose(cluster, "n1", few, "one");
            String two = VersionProposals.propose(cluster, "n2", VersionTestRun.writeVersion(cluster, 7), "two");
            assertFalse(one.isEmpty() || two.isEmpty());
            String won = VersionProposals.awaitAgreement(cluster, Waits.deadlineInSeconds(30));
            while (won.equals(ConfigurationVersion.NONE.shortHash())) {
                won = VersionProposals.awaitAgreement(cluster, Waits.deadlineInSeconds(30));
            }
            assertTrue(won.equals(one) ^ won.equals(two), "one of them");
            assertEquals("1", value(cluster, "n3", "latest").split(" ")[0], "and the other is not the next");

            // a path that is there in the process n1 alone: what is missing on another machine
            String there = "/proc/self/task/" + cluster.member("n1").pid() + "/root" + strict.resolve("few.rules");
            Path mine = Files.writeString(
                    Files.createDirectories(cluster.folder().resolve("own")).resolve("version.ini"),
                    "[rules]\nfiles = " + there + "\n");
            assertFalse(VersionProposals.propose(cluster, "n1", mine, "a file of n1's own")
                    .isEmpty());
            while (!value(cluster, "n1", "ended").contains("refused: ")) {
                Waits.sleep(20);
            }
            assertTrue(
                    value(cluster, "n1", "ended").matches(".*refused: n[23]: .*there is no such file"),
                    value(cluster, "n1", "ended"));
            assertEquals("1", value(cluster, "n2", "latest").split(" ")[0], "none has adopted it");

            String back = cluster.member("n2").ask("CONFIG ROLLBACK 0 as it was");
            assertTrue(back.startsWith("200 asked"), back);
            while (!value(cluster, "n3", "acting").startsWith("3 ")
                    || !VersionProposals.awaitAgreement(cluster, Waits.deadlineInSeconds(30))
                            .equals(ConfigurationVersion.NONE.shortHash())) {
                Waits.sleep(20);
            }
            assertTrue(cluster.member("n3").ask("CONFIG DIFF 1 3").contains("-files = "), "what it took back");
        }
    }

    /** The move of discovery, as a version: all ask the new place, and none the old one any more. */
    @Test
    void discoveryMovesByAVersion() throws Exception {
        ExternalServices other = new ExternalServices(3, 1);
        try (ProcessCluster cluster = cluster(Map.of())) {
            Path file = Files.writeString(
                    Files.createDirectories(cluster.folder().resolve("move")).resolve("version.ini"),
                    "[discovery]\naddress = " + other.address() + "\n");
            adopted(cluster, "n3", file);
            long until = Waits.deadlineInSeconds(20);
            while (other.listRequests() < 3) {
                assertTrue(System.nanoTime() < until, other.listRequests() + " calls at the new place");
                Waits.sleep(20);
            }
            Waits.sleep(1_500); // the last watch at the old place has been answered
            long old = cluster.services().listRequests();
            Waits.sleep(1_500);
            assertEquals(old, cluster.services().listRequests(), "nobody asks the old place");
        }
    }
}
