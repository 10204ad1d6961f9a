package elderseam.testkit.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A keyed message takes effect once, also where its dispatcher gives it up and its client brings it again. What
 * happened, on seed 3: message m109 is sent at 3,198 ms into a call that hangs, executed at 3,228, rejected with a
 * Retry-After at 7,963, inside its window of 6 s; the client brings it again at 9,033; a dispatcher (here the same
 * one) takes it for new, holds it, sends it at 12,082, and it takes effect again, 8,884 ms after the first time.
 */
class KeyedEffectTest {
    private static final Path SCENARIO = Path.of("src/test/resources/compat/cli/short.scenario");
    private static final int SLOTS = 16; // of the scenario's fleet
    private static final int FIRST_SEED = 1;
    private static final int LAST_SEED = 60;

    static IntStream seeds() {
        return IntStream.rangeClosed(FIRST_SEED, LAST_SEED);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void nothingTakesEffectTwiceWhateverItsClientWasTold(int seed) throws Exception {
        Scenario scenario = ScenarioFile.read(SCENARIO);
        RuleCheckers checkers = new RuleCheckers(SLOTS);
        new EmulatedWorld(scenario, "module", seed, List.of(checkers)).run(progress -> {});
        assertEquals(Map.of(), checkers.broken(), checkers.violations());
    }
}
