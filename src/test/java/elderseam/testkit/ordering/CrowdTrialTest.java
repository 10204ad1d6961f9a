package elderseam.testkit.ordering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against messages that run although their clients have left, and against crowds and large bodies that make others lose
 * theirs: the soak of crowds, short.
 */
class CrowdTrialTest {
    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void seededRuns(long seed) throws Exception {
        OrderTrial.Result result = CrowdSoak.play(folder, seed);
        System.out.println("seed " + seed + " " + CrowdSoak.actions(seed) + ": " + result);
        result.evidence().forEach(System.out::println);
        assertEquals(List.of(), result.violations().stream().limit(5).toList());
        assertTrue(result.accepted() > 0, "nothing was accepted");
    }
}
