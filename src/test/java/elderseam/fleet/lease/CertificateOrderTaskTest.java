package elderseam.fleet.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class CertificateOrderTaskTest {
    private static final long NO_HOLDER_TIMEOUT_MS = 1_000;
    private static final long OTHER_ORDER_TIMEOUT_MS = 2_000;
    private static final long DEADLINE_MS = 10_000;

    private final CertificateOrderTask task = new CertificateOrderTask(NO_HOLDER_TIMEOUT_MS, OTHER_ORDER_TIMEOUT_MS);

    private boolean ordersAt(long nowMs, LeaseOwner owner) {
        return task.isOrderedHere(nowMs, DEADLINE_MS, owner);
    }

    @Test
    void onlyTheHolderOrdersUntilNoHolderIsKnownOrTheDeadlinePasses() {
        assertTrue(ordersAt(0, LeaseOwner.THIS_MEMBER));
        assertFalse(ordersAt(100, LeaseOwner.ANOTHER_MEMBER), "another member holds the lease");
        assertFalse(ordersAt(5_000, LeaseOwner.UNKNOWN));
        assertFalse(ordersAt(5_999, LeaseOwner.UNKNOWN));
        assertTrue(ordersAt(6_000, LeaseOwner.UNKNOWN), "no holder known for 1 s");
        assertFalse(ordersAt(6_100, LeaseOwner.ANOTHER_MEMBER));
        assertTrue(ordersAt(10_000, LeaseOwner.ANOTHER_MEMBER), "after the deadline no member waits for the holder");
    }

    /** While an order is open its member is known, and so is a holder when it ends: the time without one begins then. */
    @Test
    void theTimeWithoutAHolderBeginsWhenTheOrderOfAnotherEnds() {
        assertFalse(ordersAt(0, LeaseOwner.UNKNOWN), "a group that starts has no holder yet");
        task.otherOrderBegan("n2");
        assertFalse(ordersAt(1_500, LeaseOwner.UNKNOWN), "the order of n2 is open");
        task.orderEnded();
        assertFalse(ordersAt(1_600, LeaseOwner.UNKNOWN), "n2 held the lease a moment ago");
        assertFalse(ordersAt(2_599, LeaseOwner.UNKNOWN));
        assertTrue(ordersAt(2_600, LeaseOwner.UNKNOWN), "no holder known for 1 s");
    }

    /** An order that begins and ends between two looks at it shows a holder as well. */
    @Test
    void anOrderThatWasNeverLookedAtShowsAHolder() {
        assertFalse(ordersAt(0, LeaseOwner.UNKNOWN));
        task.otherOrderBegan("n2");
        task.orderEnded();
        assertFalse(ordersAt(1_000, LeaseOwner.UNKNOWN));
        assertTrue(ordersAt(2_000, LeaseOwner.UNKNOWN));
    }

    @Test
    void aMemberThatHeldTheLeaseItselfKnewOfAHolder() {
        assertFalse(ordersAt(0, LeaseOwner.UNKNOWN));
        assertTrue(ordersAt(900, LeaseOwner.THIS_MEMBER));
        assertFalse(ordersAt(1_000, LeaseOwner.UNKNOWN), "it has lost the lease since");
        assertTrue(ordersAt(2_000, LeaseOwner.UNKNOWN));
    }

    /** No two orders at once because the lease moved while one was open, and none never because its member died. */
    @Test
    void noMemberOrdersWhileTheOrderOfAnotherIsOpen() {
        task.otherOrderBegan("n2");
        assertFalse(ordersAt(0, LeaseOwner.THIS_MEMBER), "the order of n2 is open");
        assertFalse(ordersAt(1_999, LeaseOwner.THIS_MEMBER));
        assertTrue(ordersAt(2_000, LeaseOwner.THIS_MEMBER), "it is over by now");
        assertEquals(
                Optional.empty(), task.otherOrderBy(), "and does not come back with this member's own announcement");
        task.otherOrderBegan("n3");
        assertFalse(ordersAt(2_100, LeaseOwner.THIS_MEMBER));
        task.orderEnded();
        assertTrue(ordersAt(2_200, LeaseOwner.THIS_MEMBER));
        task.otherOrderBegan("n3");
        assertTrue(ordersAt(DEADLINE_MS, LeaseOwner.ANOTHER_MEMBER), "after the deadline no member waits");
    }
}
