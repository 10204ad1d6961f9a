package elderseam.fleet.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.fleet.config.VersionTable.Command;
import elderseam.settings.SettingsFault;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The table of versions and a member's rule, by themselves. */
class VersionTableTest {
    private static final long T = 1_000, MS = 1_000_000;
    private static final Map<String, String> A = Map.of("settings.ini", "a"), B = Map.of("settings.ini", "b");

    private final VersionTable table = new VersionTable();

    private String propose(String member, long parent, Map<String, String> texts, long at) {
        return table.apply(
                        Command.propose(member, parent, "why", texts, 3, T, T).stamped(at))
                .word();
    }

    private void checked(String member, long number, String fault, long at) {
        table.apply(Command.checked(member, number, fault).stamped(at));
    }

    private void confirm(long at, String... members) {
        for (String m : members) {
            table.apply(Command.confirm(m).stamped(at));
        }
    }

    @Test
    void aProposalIsCommittedOnceAllHaveFoundNothing() {
        confirm(0, "a", "b", "c");
        assertEquals("", propose("a", 0, A, 10));
        assertTrue(propose("b", 0, B, 11).contains("is looked at"), "of two at once one is looked at");
        assertEquals("", propose("a", 0, A, 12), "the same again, since its answer was lost");
        checked("a", 1, "", 20);
        checked("b", 1, "", 30);
        assertEquals(0, table.latest().number());
        checked("c", 1, "", 40);
        assertEquals(1, table.latest().number());
        assertEquals(40 + T, table.latest().effectMs());
        assertTrue(propose("b", 0, B, 50).contains("the latest is 1"), "made from what is not the latest any more");
        assertTrue(propose("b", 1, B, 60).contains("takes effect"), "one at a time");
        assertEquals("", propose("b", 1, B, 40 + T));
        assertEquals(2, table.pending().number());
    }

    @Test
    void oneFaultRefusesItForAllAndItsNumberIsNotGivenAgain() {
        confirm(0, "a", "b", "c");
        propose("a", 0, A, 10);
        checked("a", 1, "", 20);
        checked("b", 1, "no such file", 30);
        assertNull(table.pending());
        assertEquals("refused: b: no such file", table.ended().word());
        propose("a", 0, B, 40);
        assertEquals(2, table.pending().number());
    }

    /** Whoever is cut off is waited for as long as it may act on the old one, and not longer; it takes a majority. */
    @Test
    void oneThatIsCutOffIsWaitedForUntilItIsInDoubt() {
        confirm(0, "a", "b", "c");
        propose("a", 0, A, 100);
        checked("a", 1, "", 110);
        checked("b", 1, "", 120);
        confirm(500, "a", "b");
        confirm(999, "a", "b");
        assertEquals(0, table.latest().number(), "c confirmed at 0 and may act on it yet");
        confirm(1_101, "a", "b");
        assertEquals(1, table.latest().number());

        VersionTable alone = new VersionTable();
        alone.apply(Command.propose("a", 0, "why", A, 3, T, T).stamped(0));
        alone.apply(Command.checked("a", 1, "").stamped(10));
        alone.apply(Command.confirm("a").stamped(5_000));
        assertEquals(0, alone.latest().number(), "no majority");
        alone.apply(Command.confirm("a").stamped(10_001));
        assertTrue(alone.ended().word().contains("not looked at by a majority"));
    }

    @Test
    void aSnapshotGivesAllBack() {
        confirm(0, "a", "b", "c");
        propose("a", 0, A, 10);
        checked("a", 1, "", 20);
        VersionTable other = new VersionTable();
        other.restore(table.image());
        checked("b", 1, "", 30);
        for (String m : List.of("b", "c")) {
            other.apply(Command.checked(m, 1, "").stamped(30));
        }
        assertEquals(1, other.latest().number());
        assertEquals(0, table.latest().number(), "the image is of its own");
    }

    @Test
    void aMemberActsAtTheInstantOfEffectAndDoubtsAfterT() {
        VersionActivation rule = new VersionActivation(ConfigurationVersion.NONE, T, 0);
        assertTrue(rule.inDoubt(0), "until the first confirmation");
        rule.confirmed(0, 5 * MS, new VersionTable.Outcome("", 0, 100), ConfigurationVersion.NONE);
        assertFalse(rule.inDoubt(T * MS - 1));
        assertTrue(rule.inDoubt(T * MS), "counted from the sending");
        ConfigurationVersion one = ConfigurationVersion.of(1, 0, "a", "why", A).effective(2_000);
        rule.confirmed(500 * MS, 510 * MS, new VersionTable.Outcome("", 1, 600), ConfigurationVersion.NONE);
        assertTrue(rule.inDoubt(T * MS), "the group has one that is not here yet: that confirms nothing");
        rule.confirmed(900 * MS, 910 * MS, new VersionTable.Outcome("", 1, 1_000), one);
        assertFalse(rule.tick(1_909 * MS));
        assertEquals(0, rule.acting().number());
        assertTrue(rule.tick(1_910 * MS), "1,000 ms after the answer that showed 1,000");
        assertEquals(1, rule.acting().number());
        assertTrue(rule.inDoubt(1_910 * MS), "and no word since");
        VersionActivation slow = new VersionActivation(ConfigurationVersion.NONE, T, 0.05);
        slow.confirmed(0, 0, new VersionTable.Outcome("", 0, 0), ConfigurationVersion.NONE);
        assertTrue(slow.inDoubt((long) (T * MS * 0.95 / 1.05) + 1), "less what clocks may be off");
    }

    @Test
    void aVersionHoldsWhatAFleetAgreesOnAndNothingElse(@TempDir Path folder) throws Exception {
        Files.writeString(folder.resolve("r.rules"), "[table t]\nmatch = first\n");
        Path file = Files.writeString(
                folder.resolve("v.ini"), "[rules]\nfiles = r.rules /etc/own.rules\n[fleet]\nname = x\n");
        SettingsFault e = Assertions.assertThrows(SettingsFault.class, () -> VersionContent.read(file));
        assertTrue(
                e.getMessage()
                        .contains(
                                "v.ini:3: '[fleet]' is each member's own, allowed in a version: [rules], [discovery]"),
                e.getMessage());
        Files.writeString(file, "[rules]\nfiles = r.rules /etc/own.rules\n");
        Map<String, String> texts = VersionContent.read(file);
        assertEquals(2, texts.size(), "its settings and the one file without a folder");
        VersionStore kept = new VersionStore(folder.resolve("kept"));
        ConfigurationVersion v = ConfigurationVersion.of(1, 0, "a", "why", texts);
        Path own = Files.writeString(folder.resolve("own.ini"), "[events]\nlisten = off\n[rules]\nzone = UTC\n");
        List<String> merged = Files.readAllLines(VersionContent.merged(own, kept.texts(v)));
        assertEquals(
                List.of(
                        "[events]",
                        "listen = off",
                        "[rules]",
                        "files = " + kept.texts(v).resolve("r.rules") + " /etc/own.rules"),
                merged);
        assertEquals(ConfigurationVersion.NONE, kept.acting());
        kept.acting(v);
        assertEquals(v, new VersionStore(folder.resolve("kept")).acting());
        kept.keep(List.of(v));
        kept.keep(List.of(v, ConfigurationVersion.of(2, 1, "a", "why", B)));
        assertEquals(2, kept.all().size());
        assertFalse(VersionContent.diff(v, ConfigurationVersion.of(2, 1, "a", "why", B))
                .isEmpty());
    }
}
