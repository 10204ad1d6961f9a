package elderseam.fleet.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.fleet.lease.LeaseTable.Command;
import elderseam.fleet.lease.LeaseTable.Op;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class LeaseTableTest {
    private final LeaseTable table = new LeaseTable();

    private LeaseTable.Outcome at(long ms, Op op, String holder, long token) {
        return table.apply(new Command(op, "probe:bank-7", holder, token, 1000, ms));
    }

    @Test
    void aSecondHolderIsRefusedUntilTheLeaseEndsAndThenGetsAHigherToken() {
        LeaseTable.Outcome a = at(0, Op.ACQUIRE, "a", 0);
        assertTrue(a.granted());
        LeaseTable.Outcome b = at(400, Op.ACQUIRE, "b", 0);
        assertFalse(b.granted());
        assertEquals("a", b.holder());
        assertEquals(600, b.againMs(), "told when to come back");
        LeaseTable.Outcome later = at(1000, Op.ACQUIRE, "b", 0);
        assertTrue(later.granted());
        assertTrue(later.token() > a.token(), "tokens only rise");
    }

    @Test
    void aRenewalWithAnOldTokenOrAfterTheEndIsRefused() {
        LeaseTable.Outcome a = at(0, Op.ACQUIRE, "a", 0);
        assertTrue(at(500, Op.RENEW, "a", a.token()).granted());
        assertFalse(at(600, Op.RENEW, "a", a.token() + 1).granted());
        assertFalse(at(1600, Op.RENEW, "a", a.token()).granted(), "ended at 1500");
    }

    @Test
    void aLeaderWhoseClockIsBehindNeverShortensALease() {
        at(1000, Op.ACQUIRE, "a", 0);
        assertFalse(at(200, Op.ACQUIRE, "b", 0).granted(), "the table keeps its greatest time");
        assertEquals(1000, table.now());
    }

    @Test
    void aReleaseFreesTheNameAndTheNextTokenStillRises() {
        LeaseTable.Outcome a = at(0, Op.ACQUIRE, "a", 0);
        assertTrue(at(10, Op.RELEASE, "a", a.token()).granted());
        LeaseTable.Outcome b = at(20, Op.ACQUIRE, "b", 0);
        assertTrue(b.granted());
        assertEquals(a.token() + 1, b.token());
    }

    @Test
    void aTenureEndsBeforeTheLeaseByTheDriftAndAFenceRefusesTheOld() {
        LeaseTable.Outcome a = at(0, Op.ACQUIRE, "a", 0);
        LeaseValidity t = LeaseValidity.of(a, 0, 1000, new LeaseValidity.Bounds(0.05));
        assertTrue(t.mayAct(0, 900_000_000L));
        assertFalse(t.mayAct(0, 905_000_000L), "1000 ms * 0.95 / 1.05 is 904.76 ms");
        FencingTokenCheck fence = new FencingTokenCheck();
        assertTrue(fence.admit("probe:bank-7", 2));
        assertFalse(fence.admit("probe:bank-7", 1));
    }

    @Test
    void everyScheduleOfTheModelIsSafeWithTheMarginsAndTheUnsafeRuleIsFound() {
        assertEquals(Optional.empty(), LeaseValidityModel.explore(1000, 0.05, 0, new LeaseValidity.Bounds(0.05)));
        assertTrue(
                LeaseValidityModel.explore(1000, 0.05, 0, new LeaseValidity.Bounds(0))
                        .isPresent(),
                "no margin: a slow clock acts late");
        assertTrue(
                LeaseValidityModel.explore(1000, 0.05, 120, new LeaseValidity.Bounds(0.05))
                        .isPresent(),
                "stamps by wall clocks that stand apart");
    }

    /** A new leader counts on from where the table stood, whatever its own clock shows, and so does one that leads again. */
    @Test
    void aChangeOfLeadNeverMovesTheTablesTimeAhead() {
        LeaderClock one = new LeaderClock(), two = new LeaderClock();
        assertEquals(0, one.stamp(1, Long.MIN_VALUE, 7_000_000_000L));
        assertEquals(400, one.stamp(1, 0, 7_400_000_000L));
        assertEquals(400, two.stamp(2, 400, 3_000_000L));
        assertEquals(450, two.stamp(2, 400, 53_000_000L));
        assertEquals(450, one.stamp(3, 450, 9_000_000_000L), "1.6 s passed on its clock while another led");
    }

    /** Half the term is for renewing; a refusal ends the tenure at once, no answer leaves it to end by itself. */
    @Test
    void theKeeperRenewsInHalfATermAndBelievesARefusalAtOnce() {
        LeaseRequestSchedule keeper =
                new LeaseRequestSchedule(1000, new LeaseValidity.Bounds(0.05), new SplittableRandom(1));
        assertEquals(LeaseRequestSchedule.Ask.ACQUIRE, keeper.next(0).ask());
        keeper.answered(0, 10_000_000, at(0, Op.ACQUIRE, "a", 0));
        assertEquals(LeaseRequestSchedule.Ask.NONE, keeper.next(400_000_000).ask());
        assertEquals(LeaseRequestSchedule.Ask.RENEW, keeper.next(460_000_000).ask());
        keeper.failed(700_000_000);
        assertTrue(keeper.holds(900_000_000));
        assertFalse(keeper.holds(905_000_000));
        assertEquals(
                LeaseRequestSchedule.Ask.ACQUIRE, keeper.next(950_000_000).ask(), "its term is over by its own clock");
        keeper.answered(950_000_000, 960_000_000, LeaseTable.Outcome.refused(new LeaseTable.Lease("b", 2, 3000), 1000));
        assertFalse(keeper.holds(960_000_000));
        assertTrue(
                keeper.next(970_000_000).atNs() >= 1_960_000_000,
                "no sooner than a term on, as it was told to wait longer");
    }

    @Test
    void aSnapshotGivesBackTheTableAsItWas() {
        LeaseTable.Outcome a = at(0, Op.ACQUIRE, "a", 0);
        LeaseTable other = new LeaseTable();
        other.restore(table.image());
        assertFalse(other.apply(new Command(Op.ACQUIRE, "probe:bank-7", "b", 0, 1000, 10))
                .granted());
        assertEquals(
                a.token() + 1,
                other.apply(new Command(Op.ACQUIRE, "probe:bank-7", "b", 0, 1000, 1000))
                        .token());
    }
}
