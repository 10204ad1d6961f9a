package elderseam.testkit.ordering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rejections that ask for a wait and are spoilt on their way. */
@Timeout(SpoiltRejectionsTest.TIMEOUT_S)
class SpoiltRejectionsTest {
    static final int TIMEOUT_S = 120;
    private static final TrialLoad LOAD = new TrialLoad(0, 32, 24, 800, 1_000, 4_000);
    private static final int MIN_WAIT_MS = 1_500;
    private static final int MAX_WAIT_MS = 4_000;

    @TempDir
    Path folder;

    // Guards against issue 56: a wait is discarded with an answer that is not believed, and its destination called.
    @ParameterizedTest
    @CsvSource({
        "301, NONE",
        "302, JUNK_BEHIND COPY_BEHIND COPY_SOON",
        "303, BODY_CUT_BY_END BODY_CUT_BY_RESET HEAD_CUT_BY_END END_BEHIND",
        "304, HEAD_END_LATE HEAD_END_MISSING TWO_PARTS CONTINUE_AHEAD",
        "305, LONG_HEADER FOLDED_LINE FOLDED_WAIT NUL_IN_HEADER TWO_LENGTHS BODY_TOO_LONG JUNK_AHEAD",
        "306, SUCCESS_AHEAD",
        "307, SUCCESS_THEN_REJECTION",
        "308, AFTER_GIVE_UP"
    })
    void theWaitOfASpoiltRejectionIsKept(long seed, String names) throws Exception {
        List<AnswerFault> faults =
                Arrays.stream(names.split(" ")).map(AnswerFault::valueOf).toList();
        RejectionFault rejections = new RejectionFault(0.06, MIN_WAIT_MS, MAX_WAIT_MS, faults);
        TrialSurroundings surroundings = new TrialSurroundings(16, 20, 100, 0, 20, 0, CopyFault.NONE, 8, rejections);
        OrderTrial.Result result = OrderTrial.play(folder, seed, LOAD, surroundings, List.of());
        long spoilt = result.waits().stream()
                .filter(wait -> wait.fault() != AnswerFault.NONE)
                .count();
        System.out.println("seed " + seed + " " + names + " spoilt=" + spoilt + ": " + result);
        result.evidence().forEach(System.out::println);
        assertEquals(List.of(), result.violations().stream().limit(5).toList());
        assertTrue(names.equals("NONE") || spoilt > 0, "no rejection was spoilt");
    }
}
