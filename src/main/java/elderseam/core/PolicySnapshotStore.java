package elderseam.core;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * Stores the policy's last snapshot in a file: circuit breakers, Retry-After times, rates. Each snapshot overwrites the
 * previous one. The file is never synced, because the page cache outlives the process; a checksum detects a partly
 * written snapshot. Unusable content is ignored. Confined to the event-loop thread.
 *
 * <p>Layout: checksum of the rest (8 bytes), length of the snapshot (4), shape of the settings (4), snapshot.
 */
final class PolicySnapshotStore {
    /** Maximum size of the file, in bytes; a larger one is neither written nor read. */
    static final int MAX_BYTES = 64 << 10;

    /** A snapshot older than this is too outdated to restore. */
    static final long MAX_AGE_NS = 60_000 * Clock.MILLISECOND_NS;

    private static final int LENGTH_OFFSET = 8;
    private static final int SHAPE_OFFSET = 12;
    private static final int HEADER_BYTES = 16;

    private final JournalStore store;
    private final int settingsShape;
    private int lastBytes;

    /**
     * Creates a store in the given file.
     *
     * @param settingsShape identifies the settings that a snapshot depends on; a snapshot with another shape is ignored
     */
    PolicySnapshotStore(JournalStore store, int settingsShape) {
        this.store = store;
        this.settingsShape = settingsShape;
    }

    /**
     * Overwrites the previous snapshot. A snapshot that is too long is dropped, and the previous one remains until it
     * is outdated.
     */
    void save(byte[] snapshot) throws IOException {
        int bytes = HEADER_BYTES + snapshot.length;
        if (bytes > MAX_BYTES) {
            return;
        }
        ByteBuffer file = ByteBuffer.allocate(bytes);
        file.putInt(LENGTH_OFFSET, snapshot.length);
        file.putInt(SHAPE_OFFSET, settingsShape);
        file.position(HEADER_BYTES);
        file.put(snapshot);
        file.putLong(0, checksum(file.array()));
        store.write(file.array(), 0);
        if (bytes < lastBytes) {
            store.truncate(bytes);
        }
        lastBytes = bytes;
    }

    /** The last saved snapshot; empty if there is none, or if it is corrupt, too long or of another settings shape. */
    Optional<byte[]> load() throws IOException {
        long length = store.length();
        if (length < HEADER_BYTES || length > MAX_BYTES) {
            return Optional.empty();
        }
        ByteBuffer file = ByteBuffer.allocate((int) length);
        int read = 0;
        while (file.hasRemaining() && read >= 0) {
            read = store.read(file, file.position());
        }
        int size = file.getInt(LENGTH_OFFSET);
        boolean fits = size >= 0 && size <= length - HEADER_BYTES;
        if (file.hasRemaining() || !fits || file.getInt(SHAPE_OFFSET) != settingsShape) {
            return Optional.empty();
        }
        byte[] content = Arrays.copyOf(file.array(), HEADER_BYTES + size);
        if (checksum(content) != file.getLong(0)) {
            return Optional.empty();
        }
        return Optional.of(Arrays.copyOfRange(content, HEADER_BYTES, content.length));
    }

    private static long checksum(byte[] file) {
        CRC32 crc = new CRC32();
        crc.update(file, LENGTH_OFFSET, file.length - LENGTH_OFFSET);
        return crc.getValue();
    }
}
