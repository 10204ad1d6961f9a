package elderseam.testkit.ordering;

import static elderseam.testkit.ordering.OrderTrial.Action.HAND_OVER;
import static elderseam.testkit.ordering.OrderTrial.Action.KILL;
import static elderseam.testkit.ordering.OrderTrial.Action.PAUSE;
import static elderseam.testkit.ordering.OrderTrial.Action.STEP_CLOCK_AHEAD;
import static elderseam.testkit.ordering.OrderTrial.Action.STEP_CLOCK_BACK;
import static elderseam.testkit.ordering.OrderTrial.Action.TERMINATE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages of an ordering key go out one at a time, in the order in which they were handed in. */
class OrderTrialTest {
    private static final TrialLoad SIX_MESSAGES_OF_FOUR_KEYS = new TrialLoad(4, 0, 6, 5, 8_000, 8_000);
    private static final TrialSurroundings ONE_STEADY_ENDPOINT =
            new TrialSurroundings(1, 150, 150, 0, 1, 0, CopyFault.NONE, 1, RejectionFault.NONE);

    private static final TrialSurroundings ONE_SLOW_ENDPOINT =
            new TrialSurroundings(1, 500, 500, 0, 1, 0, CopyFault.NONE, 1, RejectionFault.NONE);

    @TempDir
    Path folder;

    private void keepsOrder(long seed, TrialLoad load, TrialSurroundings surroundings, List<OrderTrial.Action> actions)
            throws Exception {
        OrderTrial.Result result = OrderTrial.play(folder, seed, load, surroundings, actions);
        System.out.println("seed " + seed + " " + actions + ": " + result);
        result.evidence().forEach(System.out::println);
        assertEquals(List.of(), result.violations().stream().limit(5).toList());
        assertTrue(result.accepted() > 0, "nothing was accepted");
    }

    @Test
    void withoutAnyFault() throws Exception {
        keepsOrder(1, SIX_MESSAGES_OF_FOUR_KEYS, ONE_STEADY_ENDPOINT, List.of());
    }

    @Test
    void acrossAKill() throws Exception {
        keepsOrder(2, SIX_MESSAGES_OF_FOUR_KEYS, ONE_STEADY_ENDPOINT, List.of(KILL));
    }

    /** With endpoints that hang, break and fail, slow notifications, signals in series and a wall clock that is stepped. */
    @Test
    void underFaultsInSeries() throws Exception {
        keepsOrder(
                3,
                new TrialLoad(8, 0, 100_000, 60, 1_000, 4_000),
                new TrialSurroundings(2, 5, 120, 0.2, 200, 0.2, CopyFault.NONE, 1, RejectionFault.NONE),
                List.of(KILL, STEP_CLOCK_AHEAD, KILL, HAND_OVER, PAUSE, TERMINATE, STEP_CLOCK_BACK, HAND_OVER));
    }

    /** What a restart finds untried is still tried, though the wall clock says that its time was over long ago. */
    @Test
    void aStepOfAnHourLosesNothing() throws Exception {
        OrderTrial.Result result = OrderTrial.play(
                folder, 4, SIX_MESSAGES_OF_FOUR_KEYS, ONE_SLOW_ENDPOINT, List.of(STEP_CLOCK_AHEAD, KILL));
        System.out.println(result);
        assertEquals(List.of(), result.violations());
        int mostInFlight = SIX_MESSAGES_OF_FOUR_KEYS.keys(); // one of each key
        assertTrue(result.delivered() >= result.accepted() - mostInFlight, result.toString());
    }

    /** The soak, short: load, surroundings and signals drawn from the seed. */
    @ParameterizedTest
    @ValueSource(longs = {101, 102, 103, 104})
    void seededRuns(long seed) throws Exception {
        OrderTrial.Result result = OrderSoak.play(folder, seed);
        System.out.println("seed " + seed + " " + OrderSoak.actions(seed) + ": " + result);
        result.evidence().forEach(System.out::println);
        assertEquals(List.of(), result.violations().stream().limit(5).toList());
        assertTrue(result.accepted() > 0, "nothing was accepted");
    }
}
