package elderseam.core;

import static elderseam.core.Lifecycle.State.DRAINED;
import static elderseam.core.Lifecycle.State.DRAINING;
import static elderseam.core.Lifecycle.State.ENDING;
import static elderseam.core.Lifecycle.State.READY;
import static elderseam.core.Lifecycle.State.STARTING;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LifecycleTest {
    private final Lifecycle life = new Lifecycle();

    @Test
    void drainsAndComesBack() {
        assertEquals(STARTING, life.state());
        assertTrue(life.rejoin());
        assertFalse(life.ready());
        life.started();
        assertTrue(life.ready());
        assertTrue(life.drain());
        assertFalse(life.drain());
        assertEquals(DRAINING, life.state());
        life.clients(true);
        assertEquals(DRAINED, life.state());
        assertTrue(life.closing());
        assertTrue(life.rejoin());
        assertEquals(READY, life.state());
    }

    /** A drain that begins before readiness keeps it from being told. */
    @Test
    void aDrainWhileStartingHolds() {
        life.drain();
        life.started();
        assertEquals(DRAINING, life.state());
    }

    @Test
    void theEndIsForGood() {
        life.started();
        life.drain();
        assertTrue(life.end());
        assertFalse(life.end());
        assertFalse(life.rejoin());
        assertFalse(life.drain());
        assertEquals(ENDING, life.state());
    }
}
