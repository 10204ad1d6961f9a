package elderseam.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Who gives way where no more can be held. */
class ShedTest {
    /** Accepted requests are kept: a new one is rejected and may go to another dispatcher at once. */
    @Test
    void aNewRequestIsRejectedBeforeAcceptedOnes() {
        PolicyTestHarness r = PolicyTestHarness.simple(1); // one call at a time: the rest waits
        List<String> taken = new ArrayList<>();
        String last = r.submit(0, -1, 1);
        while (r.end(last) == null) {
            taken.add(last);
            assertTrue(taken.size() <= r.settings.maxHeld(), "one has to give way");
            last = r.submit(0, -1, 1);
        }
        assertTrue(r.end(last).startsWith("refuse"), r.end(last));
        taken.forEach(id -> assertNull(r.end(id), "it was accepted"));
    }

    /** One that another destination takes at once is not rejected for those that wait elsewhere. */
    @Test
    void theFullestDestinationGivesWayToOneThatNeedNotWait() {
        PolicyTestHarness r = PolicyTestHarness.simple(4);
        r.list(ListUpdateKind.CHANGES, PolicyTestHarness.endpoint("b:1", 2, 0, EndpointStatus.READY));
        List<String> taken = new ArrayList<>();
        for (String id = r.submit(0, -1, 1); r.end(id) == null; id = r.submit(0, -1, 1)) {
            taken.add(id);
        }
        String other = r.submit(0, -1, 2);
        assertTrue(r.sent(other), "its destination is free");
        assertEquals(1, taken.stream().filter(id -> r.end(id) != null).count(), "one of the fullest made room");
    }
}
