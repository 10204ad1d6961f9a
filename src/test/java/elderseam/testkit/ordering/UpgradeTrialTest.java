package elderseam.testkit.ordering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against notices that go where discovery was before an upgrade, and against events that are refused while they are in
 * flight: the soak of upgrades, short.
 */
class UpgradeTrialTest {
    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void seededRuns(long seed) throws Exception {
        OrderTrial.Result result = UpgradeSoak.play(folder, seed);
        System.out.println("seed " + seed + " " + UpgradeSoak.actions(seed) + ": " + result);
        result.evidence().forEach(System.out::println);
        assertEquals(List.of(), result.violations().stream().limit(5).toList());
        assertTrue(result.accepted() > 0, "nothing was accepted");
        assertTrue(result.eventsAnswered() > 0, "no event was answered");
    }
}
