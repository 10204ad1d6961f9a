package elderseam.handover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A file lock in the state directory. The process that holds it owns the journal, the policy's state and the endpoint
 * list. The kernel releases it when the process ends, however that comes about, so a dead owner never keeps a new one
 * out.
 *
 * <p>Not thread-safe: one thread at a time uses it. Its file stays open as long as the process lives.
 */
public final class OwnershipLock {
    private static final String LOCK_FILE = "owner";

    private final FileChannel file;
    private FileLock lock;

    /**
     * Opens the lock file and creates it, and the directory, where they are missing. Does not acquire the lock.
     *
     * @throws IOException if the directory can't be used
     */
    public OwnershipLock(Path stateDirectory) throws IOException {
        Files.createDirectories(stateDirectory);
        file = FileChannel.open(stateDirectory.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Acquires the lock unless it is held already; whether this object holds it now. Does not wait. */
    public boolean tryAcquire() throws IOException {
        if (lock == null) {
            try {
                lock = file.tryLock();
            } catch (OverlappingFileLockException e) {
                return false; // another dispatcher in the same process holds it, as in a training run
            }
        }
        return lock != null;
    }

    /** Releases the lock; nothing happens where it is not held. */
    public void release() throws IOException {
        if (lock != null) {
            lock.release();
            lock = null;
        }
    }
}
