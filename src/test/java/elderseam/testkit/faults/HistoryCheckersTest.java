package elderseam.testkit.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.settings.SettingsFault;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The checkers, on histories written by hand, each with the least that breaks a rule; and the reading of scenario files. */
class HistoryCheckersTest {
    private final List<JsonNode> lines = new ArrayList<>();

    private HistoryCheckersTest at(long ms, String fields) throws Exception {
        lines.add(new ObjectMapper()
                .readTree(("{'at_ns':" + ms * 1_000_000 + ",'lease':'l'," + fields + "}").replace('\'', '"')));
        return this;
    }

    private static String granted(String holder, int token, long untilMs) {
        return "'type':'granted','holder':'" + holder + "','token':" + token + ",'until_ns':" + untilMs * 1_000_000;
    }

    private static String effect(String holder, int token, boolean admitted) {
        return "'type':'effect','holder':'" + holder + "','token':" + token + ",'admitted':" + admitted;
    }

    @Test
    void oneHolderAfterTheOtherIsSafeAndBothAtOnceIsFound() throws Exception {
        at(0, granted("a/1", 1, 900)).at(500, granted("a/1", 1, 1400)).at(1400, granted("b/1", 2, 2300));
        assertEquals(List.of(), new HistoryCheckers(lines).leaseSafety());
        at(2299, granted("a/1", 3, 3000));
        assertEquals(1, new HistoryCheckers(lines).leaseSafety().size());
    }

    @Test
    void aHolderThatWasKilledOrRefusedBelievesNoLonger() throws Exception {
        at(0, granted("a/1", 1, 900))
                .at(100, "'type':'killed','member':'a'")
                .at(200, granted("b/1", 2, 1000))
                .at(300, "'type':'refused','holder':'b/1'")
                .at(400, granted("c/1", 3, 1300));
        assertEquals(List.of(), new HistoryCheckers(lines).leaseSafety());
    }

    /** What ends one lease ends no other of the same holder. */
    @Test
    void aReleaseEndsItsOwnLeaseAlone() throws Exception {
        at(0, granted("a/1", 1, 900))
                .at(100, "'type':'released','holder':'a/1'")
                .at(200, granted("b/1", 2, 1000));
        assertEquals(List.of(), new HistoryCheckers(lines).leaseSafety());
        lines.add(new ObjectMapper()
                .readTree("{\"at_ns\":300000000,\"lease\":\"m\",\"type\":\"refused\",\"holder\":\"b/1\"}"));
        at(400, granted("c/1", 3, 1300));
        assertEquals(1, new HistoryCheckers(lines).leaseSafety().size());
    }

    @Test
    void aTokenOfTwoHoldersIsFoundByBothCheckers() throws Exception {
        at(0, granted("a/1", 1, 900))
                .at(1000, granted("b/1", 1, 1900))
                .at(10, effect("a/1", 1, true))
                .at(1010, effect("b/1", 1, true));
        assertTrue(new HistoryCheckers(lines).leaseSafety().toString().contains("granted to a/1 and to b/1"));
        assertEquals(1, new HistoryCheckers(lines).fencing().size());
    }

    @Test
    void anOlderTokenThatTakesEffectIsFoundAndOneThatIsFencedOffIsNot() throws Exception {
        at(0, effect("a/1", 1, true)).at(10, effect("b/1", 2, true)).at(20, effect("a/1", 1, false));
        assertEquals(List.of(), new HistoryCheckers(lines).fencing());
        at(30, effect("a/1", 1, true));
        assertEquals(1, new HistoryCheckers(lines).fencing().size());
    }

    @Test
    void aHealWithoutAnActInTimeIsFound() throws Exception {
        at(0, "'type':'healed'")
                .at(900, effect("a/1", 1, true))
                .at(1000, "'type':'healed'")
                .at(1100, effect("a/1", 1, false))
                .at(5000, "'type':'end'");
        assertEquals(
                List.of("liveness: no act after a heal, at most 1000 ms allowed"),
                new HistoryCheckers(lines).liveness(1000));
        assertEquals(List.of(), new HistoryCheckers(lines).liveness(4000));
    }

    @Test
    void oneSeedGivesOneSchedule(@TempDir Path folder) throws Exception {
        LeaseTestRun.Terms seven = new LeaseTestRun.Terms("leases", 50, 7, null, folder);
        LeaseTestRun.Terms eight = new LeaseTestRun.Terms("leases", 50, 8, null, folder);
        assertEquals(LeaseTestRun.schedule(seven), LeaseTestRun.schedule(seven));
        assertTrue(!LeaseTestRun.schedule(seven).equals(LeaseTestRun.schedule(eight)));
    }

    @Test
    void everyFaultOfAScenarioIsTold(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(
                folder.resolve("s"),
                "[fleet x]\nmembers = 99\n[fault a]\nat_ms = 5\ndo = stall holder\n[fault b]\ndo = explode\nwhen = 7\n");
        SettingsFault fault = assertThrows(SettingsFault.class, () -> FaultSchedule.read(file));
        assertEquals(5, fault.faults().size(), fault.faults()::toString);
        assertTrue(
                fault.faults().get(0).contains(":2:11: fleet.x.members: '99' can't be used, allowed: 2 to 16"),
                fault.faults()::toString);
    }
}
