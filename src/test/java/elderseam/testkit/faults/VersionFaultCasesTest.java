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

/** Versions that three real processes agree on, and what befalls them meanwhile. */
@ResourceLock("rig one") // each class starts some processes: two classes at a time
class VersionFaultCasesTest {
    private static final int RATE = 1; // of a rule that refuses nearly all

    @TempDir
    Path folder;

    private static long by(long seconds) {
        return System.nanoTime() + seconds * 1_000_000_000L;
    }

    private LeaseTestRun.Result play(String plant, int rounds) throws Exception {
        return LeaseTestRun.run(
                new LeaseTestRun.Terms("versions", rounds, 11, plant, folder.resolve(plant == null ? "right" : plant)),
                System.out::println);
    }

    @Test
    void noTwoActOnContradictingVersionsUnderANemesis() throws Exception {
        LeaseTestRun.Result r = play(null, 3);
        assertEquals(List.of(), r.violations());
        System.out.println("versions: " + r.figures());
    }

    @Test
    void whatIsPlantedIsFound() throws Exception {
        assertFalse(
                play("no-confirm", 2).violations().isEmpty(),
                "a member that is cut off acts on the old version without end");
    }

    private ProcessCluster cluster(Map<String, Integer> clocks) throws Exception {
        ProcessCluster c = new ProcessCluster(
                new FaultSchedule(3, 1_200, 5, 150, 1_000, clocks, List.of()),
                folder.resolve("c"),
                VersionTestRun.setup(null));
        VersionProposals.awaitAgreement(c, by(30));
        return c;
    }

    private static String value(ProcessCluster c, String member, String name) throws Exception {
        return VersionProposals.value(c, member, name);
    }

    private static int send(ProcessCluster c, String member) throws Exception {
        return c.services().send(c.member(member).ready(), 1).get(10, TimeUnit.SECONDS);
    }

    /** Proposes, and waits until all act on it. */
    private static void adopted(ProcessCluster c, String at, Path file) throws Exception {
        String hash = VersionProposals.propose(c, at, file, "a test's");
        assertFalse(hash.isEmpty());
        long until = by(30);
        while (!VersionProposals.awaitAgreement(c, until).equals(hash)) {
            assertTrue(System.nanoTime() < until, "not adopted: " + c.member(at).ask("CONFIG"));
            Waits.sleep(20);
        }
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
        try (ProcessCluster c = cluster(Map.of("n1", 105))) {
            adopted(c, "n2", VersionTestRun.writeVersion(c, 0));
            assertEquals(202, send(c, "n1"));
            c.inject(FaultInjection.parse(0, "isolate n1"));
            assertTrue(c.awaitLastEvent(
                    "configuration.", "configuration.version_in_doubt rejects_requests=true fault=none", 1, by(10)));
            awaitDoubt(c, "n1", by(10));
            assertEquals(503, send(c, "n1"), "a rule may say otherwise by now");
            assertFalse(VersionProposals.propose(c, "n2", VersionTestRun.writeVersion(c, 1), "without n1")
                    .isEmpty());
            while (!value(c, "n2", "acting").startsWith("2 ")
                    || !value(c, "n3", "acting").startsWith("2 ")) {
                Waits.sleep(20); // the group's own word is asked for
            }
            assertEquals(202, send(c, "n2"), "the side with the majority serves");
            assertTrue(value(c, "n1", "acting").startsWith("1 ")
                    && value(c, "n1", "doubt").equals("yes"));
            c.inject(FaultInjection.parse(0, "crash n1"));
            c.inject(
                    FaultInjection.parse(0, "restart")); // on its folder, two versions behind by now, and still cut off
            assertEquals(503, send(c, "n1"), "what it acted on last is not acted on before it is confirmed");
            c.heal(true);
            VersionProposals.awaitAgreement(c, by(30));
            assertTrue(value(c, "n1", "acting").startsWith("2 "));
            assertEquals(202, send(c, "n1"));
            assertEquals(
                    List.of(),
                    HistoryCheckers.read(c.histories())
                            .agreement(
                                    VersionTestRun.BOUND_MS + VersionTestRun.BOUND_TOLERANCE_MS,
                                    VersionTestRun.SWITCH_TOLERANCE_MS));
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
        try (ProcessCluster c = cluster(Map.of())) {
            Path strict = c.folder().resolve("strict");
            Files.createDirectories(strict);
            Files.writeString(
                    strict.resolve("few.rules"),
                    "[limit few]\nrate_per_s = " + RATE
                            + "\nburst = 1\n[table all]\nmatch = first\n[rule all]\nwhen = true\nlimit = few\n");
            Path few = Files.writeString(strict.resolve("version.ini"), "[rules]\nfiles = few.rules\n");
            String one = VersionProposals.propose(c, "n1", few, "one");
            String two = VersionProposals.propose(c, "n2", VersionTestRun.writeVersion(c, 7), "two");
            assertFalse(one.isEmpty() || two.isEmpty());
            String won = VersionProposals.awaitAgreement(c, by(30));
            while (won.equals(ConfigurationVersion.NONE.shortHash())) {
                won = VersionProposals.awaitAgreement(c, by(30));
            }
            assertTrue(won.equals(one) ^ won.equals(two), "one of them");
            assertEquals("1", value(c, "n3", "latest").split(" ")[0], "and the other is not the next");

            // a path that is there in the process n1 alone: what is missing on another machine
            String there = "/proc/self/task/" + c.member("n1").pid() + "/root" + strict.resolve("few.rules");
            Path mine = Files.writeString(
                    Files.createDirectories(c.folder().resolve("own")).resolve("version.ini"),
                    "[rules]\nfiles = " + there + "\n");
            assertFalse(VersionProposals.propose(c, "n1", mine, "a file of n1's own")
                    .isEmpty());
            while (!value(c, "n1", "ended").contains("refused: ")) {
                Waits.sleep(20);
            }
            assertTrue(
                    value(c, "n1", "ended").matches(".*refused: n[23]: .*there is no such file"),
                    value(c, "n1", "ended"));
            assertEquals("1", value(c, "n2", "latest").split(" ")[0], "none has adopted it");

            String back = c.member("n2").ask("CONFIG ROLLBACK 0 as it was");
            assertTrue(back.startsWith("200 asked"), back);
            while (!value(c, "n3", "acting").startsWith("3 ")
                    || !VersionProposals.awaitAgreement(c, by(30)).equals(ConfigurationVersion.NONE.shortHash())) {
                Waits.sleep(20);
            }
            assertTrue(c.member("n3").ask("CONFIG DIFF 1 3").contains("-files = "), "what it took back");
        }
    }

    /** The move of discovery, as a version: all ask the new place, and none the old one any more. */
    @Test
    void discoveryMovesByAVersion() throws Exception {
        ExternalServices other = new ExternalServices(3, 1);
        try (ProcessCluster c = cluster(Map.of())) {
            Path file = Files.writeString(
                    Files.createDirectories(c.folder().resolve("move")).resolve("version.ini"),
                    "[discovery]\naddress = " + other.address() + "\n");
            adopted(c, "n3", file);
            long until = by(20);
            while (other.listRequests() < 3) {
                assertTrue(System.nanoTime() < until, other.listRequests() + " calls at the new place");
                Waits.sleep(20);
            }
            Waits.sleep(1_500); // the last watch at the old place has been answered
            long old = c.services().listRequests();
            Waits.sleep(1_500);
            assertEquals(old, c.services().listRequests(), "nobody asks the old place");
        }
    }
}
