package elderseam.core;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * What the module has learned, beside the journal, so that a process that was killed does not begin by knocking at what was
 * shut: breakers, told waits, paces. One write over the last one each second; the page cache outlives the process, so nothing
 * is synced, and a checksum tells what was half written. It is a help and no debt: whatever can't be used is passed over.
 *
 * <p>Layout: checksum of the rest (8 bytes), length (4), the shape of the settings (4), the ledger.
 */
final class PolicySnapshotStore {
    /** The most that is kept, and set aside of the disk. */
    static final int MOST = 64 << 10;
    /** What is older says nothing of now. */
    static final long FRESH_NS = 60_000 * Clock.MS;

    private static final int HEAD = 16;

    private final JournalStore store;
    private final int shape;
    private int written; // of the last one, so that a shorter one leaves no tail

    /** {@code shape}: of the settings that a ledger belongs to; one of another shape is passed over. */
    PolicySnapshotStore(JournalStore store, int shape) {
        this.store = store;
        this.shape = shape;
    }

    /** Keeps a ledger in the last one's place; one that is too long is left out, and the last one stays until it is old. */
    void keep(byte[] ledger) throws IOException {
        if (HEAD + ledger.length > MOST) {
            return;
        }
        ByteBuffer b = ByteBuffer.allocate(HEAD + ledger.length)
                .putLong(0)
                .putInt(ledger.length)
                .putInt(shape)
                .put(ledger);
        b.putLong(0, checksum(b.array()));
        store.write(b.array(), 0);
        if (b.capacity() < written) {
            store.truncate(b.capacity());
        }
        written = b.capacity();
    }

    /** The ledger that was kept last, or null: there is none, or it is torn, too long or of another shape. */
    byte[] kept() throws IOException {
        long length = store.length();
        if (length < HEAD || length > MOST) {
            return null;
        }
        ByteBuffer b = ByteBuffer.allocate((int) length);
        for (int n = 0; b.hasRemaining() && n >= 0; ) {
            n = store.read(b, b.position());
        }
        int size = b.getInt(8);
        if (b.hasRemaining() || size < 0 || size > length - HEAD || b.getInt(12) != shape) {
            return null;
        }
        byte[] all = java.util.Arrays.copyOf(b.array(), HEAD + size);
        return checksum(all) == b.getLong(0) ? java.util.Arrays.copyOfRange(all, HEAD, all.length) : null;
    }

    private static long checksum(byte[] all) {
        CRC32 crc = new CRC32();
        crc.update(all, 8, all.length - 8);
        return crc.getValue();
    }
}
