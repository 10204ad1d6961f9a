package elderseam.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.testkit.gossip.SimulatedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Dispatchers with the real policy that meet outages, with and without gossip, with and without members that lie. */
class SimulatedServiceTest {
    /** Members that lie don't lower the others' service, break no rule, and push no cold destination into failure more often. */
    @ParameterizedTest
    @CsvSource({"5,1,0", "5,2,0", "5,3,0", "5,2,0.3", "4,0,0"})
    void liarsDoNoHarm(int instances, int liars, double loss) {
        for (int seed = 1; seed <= 2; seed++) {
            SimulatedService off = SimulatedService.run(instances, loss, liars, false, seed);
            SimulatedService on = SimulatedService.run(instances, loss, liars, true, seed);
            assertEquals(0, off.ruleViolations() + on.ruleViolations(), on::words);
            assertTrue(on.service() >= off.service() - 0.01, () -> off.words() + "\n" + on.words());
            assertTrue(on.overloadFailures() <= off.overloadFailures(), on::words);
        }
    }

    @Test
    void aSeedDeterminesTheRun() {
        assertEquals(
                SimulatedService.run(5, 0.1, 1, true, 3).json(),
                SimulatedService.run(5, 0.1, 1, true, 3).json());
    }

    /** What health reports are for: the fleet makes fewer calls to destinations that are down, over some seeds together. */
    @Test
    void gossipSavesCallsToDestinationsThatAreDown() {
        int off = 0;
        int on = 0;
        for (int seed = 1; seed <= 8; seed++) { // the gain is half a percent: three seeds are too few to show it
            off += SimulatedService.run(16, 0, 0, false, seed).callsWhileDown();
            on += SimulatedService.run(16, 0, 0, true, seed).callsWhileDown();
        }
        assertTrue(on < off, on + " calls to destinations that were down with gossip, " + off + " without");
    }
}
