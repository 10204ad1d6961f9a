package elderseam.handover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The lock on an empty file of the folder: whoever holds it owns journal, module and list. The kernel lets it go with the process
 * that held it, however that ended, so no owner that is dead keeps a new one out.
 */
public final class OwnershipLock {
    private final FileChannel file;
    private FileLock lock;

    public OwnershipLock(Path folder) throws IOException {
        Files.createDirectories(folder);
        file = FileChannel.open(folder.resolve("owner"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Whether this process holds it now. */
    public boolean take() throws IOException {
        if (lock == null) {
            try {
                lock = file.tryLock();
            } catch (OverlappingFileLockException e) {
                return false; // another dispatcher of the same process, as in a training run
            }
        }
        return lock != null;
    }

    public void release() throws IOException {
        if (lock != null) {
            lock.release();
            lock = null;
        }
    }
}
