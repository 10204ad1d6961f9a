package elderseam.handover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The lock is one owner's alone, and free once it is released. */
class OwnershipLockTest {
    @TempDir
    Path directory;

    @Test
    void theDirectoryHasOneOwner() throws Exception {
        OwnershipLock first = new OwnershipLock(directory);
        OwnershipLock second = new OwnershipLock(directory);
        assertTrue(first.tryAcquire());
        assertTrue(first.tryAcquire());
        assertFalse(second.tryAcquire());
        first.release();
        assertTrue(second.tryAcquire());
    }
}
