package elderseam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What others' word may do to a breaker, and what it may not. */
class AdviceTest {
    private final PolicyTestHarness harness = PolicyTestHarness.simple(8); // destination 1 is listed

    private BreakerView breaker() {
        List<BreakerView> seen = new ArrayList<>();
        harness.policy.breakers(harness.now, (id, b) -> seen.add(b));
        return seen.get(0);
    }

    private void fail() {
        harness.answer(harness.submit(2, -1, 1), AttemptResult.ERROR);
    }

    /** However loud: without an own failure nothing opens, nothing is called, and no timer is set. */
    @Test
    void suspicionAloneDoesNothing() {
        int traced = harness.trace.size(), timers = harness.timersSet;
        harness.policy.advised(harness.now, 1, 1, 1_000);
        harness.policy.advised(harness.now, 77, 1, 1_000);
        harness.endTurn();
        assertEquals(BreakerState.CLOSED, breaker().state());
        assertEquals(traced, harness.trace.size());
        assertEquals(timers, harness.timersSet);
    }

    /** Own failures in a row that trip: four, down to two at full suspicion, never one. */
    @ParameterizedTest
    @CsvSource({"0,4", "0.2,4", "0.3,3", "0.7,3", "1,2"})
    void suspicionLowersTheFailuresThatTrip(double suspicion, int failures) {
        harness.policy.advised(harness.now, 1, suspicion, 1);
        int n = 0;
        while (breaker().state() == BreakerState.CLOSED && n < 10) {
            fail();
            n++;
        }
        assertEquals(failures, n);
    }

    /** A word that ends is forgotten whole; one that comes while a breaker sleeps neither wakes nor closes it. */
    @Test
    void endedAdviceLeavesNothing() {
        harness.policy.advised(harness.now, 1, 1, 1);
        harness.policy.advised(harness.now, 1, 0, 0);
        fail();
        fail();
        assertEquals(BreakerState.CLOSED, breaker().state());
        fail();
        fail();
        assertEquals(BreakerState.OPEN, breaker().state());
        harness.policy.advised(harness.now, 1, 0, 0);
        assertEquals(BreakerState.OPEN, breaker().state());
    }

    /** Who looks at the breakers changes nothing, however often. */
    @Test
    void viewsChangeNothing() {
        fail();
        BreakerView first = breaker();
        for (int i = 0; i < 100; i++) {
            assertEquals(first, breaker());
        }
        assertTrue(first.calls() == 1 && first.failures() == 1, first::toString);
    }
}
