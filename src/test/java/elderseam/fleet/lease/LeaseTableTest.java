package elderseam.fleet.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.fleet.lease.LeaseTable.Command;
import elderseam.fleet.lease.LeaseTable.Op;
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
    void aTenureEndsBeforeTheLeaseByTheDriftAndSkewAndAFenceRefusesTheOld() {
        LeaseTable.Outcome a = at(0, Op.ACQUIRE, "a", 0);
        Tenure t = Tenure.of(a, 0, 1000, new Tenure.Bounds(0.05, 50));
        assertTrue(t.mayAct(0, 900_000_000L));
        assertFalse(t.mayAct(0, 905_000_000L), "950 ms * 0.95 is 902.5 ms");
        Fence fence = new Fence();
        assertTrue(fence.admit("probe:bank-7", 2));
        assertFalse(fence.admit("probe:bank-7", 1));
    }

    @Test
    void everyScheduleOfTheModelIsSafeWithTheMarginsAndTheUnsafeRuleIsFound() {
        assertTrue(TenureModel.explore(1000, 0.05, 20, new Tenure.Bounds(0.05, 20)).isEmpty());
        assertTrue(TenureModel.explore(1000, 0.05, 20, new Tenure.Bounds(0, 0)).isPresent(), "no margins: a slow clock acts late");
        assertTrue(TenureModel.explore(1000, 0.05, 20, new Tenure.Bounds(0.05, 0)).isPresent(), "skew not taken off");
    }
}
