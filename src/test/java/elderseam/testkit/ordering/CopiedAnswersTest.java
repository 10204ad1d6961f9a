package elderseam.testkit.ordering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Answers that come a second time on their connection, by when that carries the next call. */
@Timeout(CopiedAnswersTest.TIMEOUT_S)
class CopiedAnswersTest {
    private static final TrialLoad LOAD = new TrialLoad(2, 8, 40, 200, 1_000, 3_000);
    static final int TIMEOUT_S = 120;
    private static final double COPIED_RATIO = 0.2;

    @TempDir
    Path folder;

    private static TrialSurroundings surroundings(CopyFault copies) {
        return new TrialSurroundings(3, 20, 140, 0.08, 50, 0.3, copies, 1, RejectionFault.NONE);
    }

    private void noRuleIsBroken(long seed, TrialSurroundings surroundings) throws Exception {
        OrderTrial.Result result = OrderTrial.play(folder, seed, LOAD, surroundings, List.of());
        System.out.println("seed " + seed + " " + surroundings.copies() + ": " + result);
        result.evidence().forEach(System.out::println);
        assertEquals(List.of(), result.violations().stream().limit(5).toList());
        assertTrue(result.accepted() > 0, "nothing was accepted");
    }

    // Guards against issue 53: a copy is taken as the answer to the next call, so messages are lost or run twice.
    @ParameterizedTest
    @CsvSource({"201, 1, 10", "202, 10, 60", "203, 60, 200", "204, 200, 1000", "205, 0, 2000"})
    void aCopiedAnswerEndsNoOtherCall(long seed, int minDelayMs, int maxDelayMs) throws Exception {
        CopyFault copies = new CopyFault(COPIED_RATIO, minDelayMs, maxDelayMs, 0);
        noRuleIsBroken(seed, surroundings(copies));
    }

    // Guards against issue 53: a copy that breaks off joins the next answer and is taken for a delivery.
    @ParameterizedTest
    @CsvSource({"211, 1, 60", "212, 60, 1000"})
    void aCutCopyEndsNoOtherCall(long seed, int minDelayMs, int maxDelayMs) throws Exception {
        CopyFault copies = new CopyFault(COPIED_RATIO, minDelayMs, maxDelayMs, 1);
        noRuleIsBroken(seed, surroundings(copies));
    }
}
