package elderseam.policy;

import static elderseam.policy.PolicyTestHarness.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.policy.Sender.ListKind;
import elderseam.policy.Sender.Listing;
import elderseam.policy.Sender.Result;
import java.lang.reflect.Field;
import java.util.Collection;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Endpoints and destinations that come and go for ever. */
class ChurnTest {
    private final PolicyTestHarness rig = PolicyTestHarness.simple(8);

    private int size(String table) throws ReflectiveOperationException {
        Field field = DispatchPolicy.class.getDeclaredField(table);
        field.setAccessible(true);
        Object value = field.get(rig.brain);
        return value instanceof Map<?, ?> map ? map.size() : ((Collection<?>) value).size();
    }

    /** What is gone is forgotten; it used to stay for good. */
    @Test
    void nothingGrowsWithIdsThatAreGone() throws ReflectiveOperationException {
        for (int i = 0; i < 100; i++) {
            rig.list(ListKind.CHANGES, PolicyTestHarness.endpoint("e" + i, 100 + i, 0, Listing.READY));
            rig.answer(rig.submit(2, i, 100 + i), Result.DELIVERED);
            rig.answer(rig.submit(2, 1_000 + i, 100 + i), Result.RESET); // its lane rests for a while
            rig.list(ListKind.CHANGES, PolicyTestHarness.endpoint("e" + i, 100 + i, 0, Listing.GONE));
            rig.pass(S);
        }
        assertEquals(1, size("targets"));
        assertTrue(size("destinations") < 40, size("destinations") + " destinations");
        assertTrue(size("lanes") < 3, size("lanes") + " lanes");
        assertTrue(size("bare") < 40 && size("resting") < 3);
    }

    /** One that is gone with a call out is kept until that ends, and what it did is no news of its successor. */
    @Test
    void aSuccessorStartsAnew() throws ReflectiveOperationException {
        String id = rig.submit(0, -1, 1);
        rig.list(ListKind.WHOLE, PolicyTestHarness.endpoint("b:1", 1, 0, Listing.READY));
        assertEquals(2, size("targets"));
        rig.answer(id, Result.DELIVERED);
        rig.list(ListKind.CHANGES);
        assertEquals(1, size("targets"));
        assertEquals("b:1", rig.only(rig.submit(0, -1, 1)).endpoint());
    }

    /** A destination is known while it is listed, and for as long after as its messages may be held. */
    @Test
    void aDestinationIsKnownForAWhile() {
        assertTrue(rig.brain.serves(rig.now, 1));
        assertFalse(rig.brain.serves(rig.now, 2));
        rig.list(ListKind.WHOLE);
        rig.pass(20 * S);
        assertTrue(rig.brain.serves(rig.now, 1));
        rig.pass(20 * S);
        assertFalse(rig.brain.serves(rig.now, 1));
    }
}
