package elderseam.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.testkit.gossip.SimulatedFleet;
import elderseam.testkit.gossip.SimulationRun;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whole fleets in virtual time, and what happens to them. */
class SimulatedFleetTest {
    private static final long S = 1_000_000_000L;

    private static SimulatedFleet joined(int instances, double loss, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(instances, GossipTimings.USUAL, loss, loss / 10, seed);
        assertTrue(fleet.untilAgreed(300 * S) >= 0, "never joined");
        return fleet;
    }

    private static long of(SimulatedFleet fleet, String name, MemberState standing) {
        return fleet.changes().stream()
                .filter(c -> c.of().equals(name) && c.standing() == standing)
                .count();
    }

    /** Found and told by all within SWIM's bounds: a period and more to be probed, the suspicion, a few rounds of rumour. */
    @ParameterizedTest
    @CsvSource({"3,0", "5,0", "50,0", "50,0.1", "200,0"})
    void aKilledMemberIsFoundByAll(int instances, double loss) {
        SimulationRun t = SimulationRun.run(instances, loss, true, 20, 7);
        assertTrue(t.suspectedMs() >= 500 && t.suspectedMs() < 12_000, t::words);
        assertTrue(t.allMs() > 0 && t.allMs() < 60_000, t::words);
        assertTrue(loss > 0 || (t.falseSuspicions() == 0 && t.falseDeaths() == 0), t::words);
    }

    /** Hung with its socket open, it is held dead; back, it says so, and is present for all again. */
    @Test
    void aHungMemberComesBack() {
        SimulatedFleet fleet = joined(8, 0, 3);
        fleet.hang("n0004");
        fleet.pass(60 * S);
        assertEquals(MemberState.DEAD, fleet.standing("n0001", "n0004"));
        fleet.resume("n0004");
        assertTrue(fleet.untilAgreed(120 * S) >= 0);
    }

    /** A pause shorter than a suspicion is forgiven: it hears itself suspected and refutes. */
    @Test
    void aSuspectRefutes() {
        SimulatedFleet fleet = joined(8, 0, 4);
        int before = fleet.changes().size();
        fleet.hang("n0005");
        fleet.pass(4 * S);
        fleet.resume("n0005");
        fleet.pass(20 * S);
        assertTrue(of(fleet, "n0005", MemberState.SUSPECT) > 0, "it was suspected");
        assertTrue(fleet.changes().subList(before, fleet.changes().size()).stream()
                .noneMatch(c -> c.standing() == MemberState.DEAD));
        assertTrue(fleet.agreed());
    }

    /** One that comes back with an incarnation of before is not believed until it has outbid what is held of it. */
    @Test
    void anOldIncarnationIsOutbid() {
        SimulatedFleet fleet = joined(6, 0, 5);
        fleet.kill("n0003");
        fleet.pass(60 * S);
        fleet.restart("n0003", 0);
        assertTrue(fleet.untilAgreed(120 * S) >= 0);
        assertEquals(MemberState.ALIVE, fleet.standing("n0000", "n0003"));
    }

    /** Two halves that can't reach each other for minutes hold each other dead, and find each other again. */
    @Test
    void twoHalvesMeetAgain() {
        SimulatedFleet fleet = joined(12, 0, 6);
        fleet.part(true);
        fleet.pass(100 * S);
        assertEquals(MemberState.DEAD, fleet.standing("n0000", "n0001"));
        assertEquals(MemberState.ALIVE, fleet.standing("n0000", "n0002"));
        fleet.pass(200 * S); // by now each half has forgotten the other
        fleet.part(false);
        assertTrue(fleet.untilAgreed(240 * S) >= 0);
    }

    /** What one says of a destination is with all within seconds, lost, repeated and overtaken as datagrams may be. */
    @ParameterizedTest
    @CsvSource({"5,0,800", "50,0,1500", "50,0.3,2500"})
    void aClaimReachesAll(int instances, double loss, long withinMs) {
        SimulatedFleet fleet = joined(instances, loss, 12);
        long ns = fleet.untilAllHear("n0002", 7, 30 * S);
        assertTrue(ns >= 0 && ns <= withinMs * 1_000_000, ns / 1_000_000 + " ms");
    }

    /** In two halves a claim stays in its half; it is not told later as if it were new. */
    @Test
    void aClaimOfBeforeIsNotNewAfterAPartition() {
        SimulatedFleet fleet = joined(8, 0, 13);
        fleet.part(true);
        assertEquals(-1, fleet.untilAllHear("n0002", 7, 15 * S));
        fleet.kill("n0002");
        fleet.pass(20 * S);
        fleet.part(false);
        fleet.pass(60 * S);
        assertTrue(fleet.standing("n0001", "n0003") != null);
        assertEquals(0, fleet.claims("n0001", 7));
    }

    /** Good-bye is no death. */
    @Test
    void oneThatLeavesIsNotSuspected() {
        SimulatedFleet fleet = joined(10, 0, 8);
        fleet.leave("n0007");
        fleet.pass(10 * S);
        assertEquals(0, of(fleet, "n0007", MemberState.SUSPECT) + of(fleet, "n0007", MemberState.DEAD));
        assertEquals(9, of(fleet, "n0007", MemberState.LEFT));
    }

    /** With a third of all datagrams lost, Lifeguard's parts keep most members from being held dead. */
    @Test
    void localHealthKeepsTheFalselyAccusedAlive() {
        long with = 0, without = 0;
        for (int seed = 1; seed <= 3; seed++) {
            with += SimulationRun.run(30, 0.3, true, 120, seed).falseDeaths();
            without += SimulationRun.run(30, 0.3, false, 120, seed).falseDeaths();
        }
        assertTrue(with * 4 <= without && without > 0, with + " with, " + without + " without");
    }

    /** What a member sends does not grow with the fleet. */
    @Test
    void trafficIsFlat() {
        long few = SimulationRun.run(5, 0, true, 60, 9).bytesPerS(),
                many = SimulationRun.run(200, 0, true, 60, 9).bytesPerS();
        assertTrue(many < 3 * few, few + " bytes a second of 5, " + many + " of 200");
    }

    @Test
    void oneSeedGivesTheSameBytes() {
        assertEquals(
                SimulationRun.run(40, 0.2, true, 30, 11).json(),
                SimulationRun.run(40, 0.2, true, 30, 11).json());
    }
}
