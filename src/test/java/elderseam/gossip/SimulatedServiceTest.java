package elderseam.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.testkit.gossip.SimulatedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Dispatchers with the real module that meet outages, with and without gossip, honest and lying. */
class SimulatedServiceTest {
    /** Two of five lying: nobody's service falls, no rule is broken, no cold partner is pushed over more often. */
    @ParameterizedTest
    @CsvSource({"5,1,0", "5,2,0", "5,3,0", "5,2,0.3", "4,0,0"})
    void liarsDoNoHarm(int instances, int liars, double loss) {
        for (int seed = 1; seed <= 2; seed++) {
            SimulatedService off = SimulatedService.run(instances, loss, liars, false, seed),
                    on = SimulatedService.run(instances, loss, liars, true, seed);
            assertEquals(0, off.broken() + on.broken(), on::words);
            assertTrue(on.service() >= off.service() - 0.01, () -> off.words() + "\n" + on.words());
            assertTrue(on.felled() <= off.felled(), on::words);
        }
    }

    @Test
    void oneSeedGivesTheSameBytes() {
        assertEquals(
                SimulatedService.run(5, 0.1, 1, true, 3).json(),
                SimulatedService.run(5, 0.1, 1, true, 3).json());
    }

    /** What claims are for: the fleet's calls to partners that are down grow fewer, over some seeds together. */
    @Test
    void aFleetFindsOutSooner() {
        int off = 0, on = 0;
        for (int seed = 1; seed <= 8; seed++) { // a half of a hundred fewer: three seeds together are within chance
            off += SimulatedService.run(16, 0, 0, false, seed).callsWhileDown();
            on += SimulatedService.run(16, 0, 0, true, seed).callsWhileDown();
        }
        assertTrue(on < off, on + " calls to partners that were down with gossip, " + off + " without");
    }
}
