package elderseam.core;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Reads a journal's records from its store in large windows: with one read per record, reading a full file took longer
 * than the rest of the startup.
 */
final class JournalReader {
    private static final int WINDOW_BYTES = 1 << 20;

    private final JournalStore store;
    private final long length;
    private final ByteBuffer window;

    private JournalReader(JournalStore store, long length) {
        this.store = store;
        this.length = length;
        window = ByteBuffer.allocate((int) Math.min(length, WINDOW_BYTES));
        window.flip();
    }

    /**
     * Decodes each record up to the first incomplete or corrupt one. Returns the offset of that record, or of the end.
     */
    static long read(JournalStore store, JournalRecordDecoder decoder) throws IOException {
        return new JournalReader(store, store.length()).read(decoder);
    }

    private long read(JournalRecordDecoder decoder) throws IOException {
        long offset = 0;
        while (offset + JournalRecordFormat.HEADER_BYTES <= length
                && ensureBuffered(JournalRecordFormat.HEADER_BYTES, offset)) {
            int contentBytes = window.getInt(window.position());
            int checksum = window.getInt(window.position() + Integer.BYTES);
            int recordBytes = JournalRecordFormat.HEADER_BYTES + contentBytes;
            boolean plausible = contentBytes > 0 && contentBytes <= JournalRecordFormat.MAX_CONTENT_BYTES;
            if (!plausible || offset + recordBytes > length || !ensureBuffered(recordBytes, offset)) {
                break;
            }
            int start = window.position() + JournalRecordFormat.HEADER_BYTES;
            if (JournalRecordFormat.checksum(window.array(), start, contentBytes) != checksum) {
                break;
            }
            ByteArrayInputStream content = new ByteArrayInputStream(window.array(), start, contentBytes);
            decoder.decode(new DataInputStream(content), contentBytes);
            window.position(start + contentBytes);
            offset += recordBytes;
        }
        return offset;
    }

    /**
     * Ensures that the window contains at least {@code bytes} from its position on, which corresponds to {@code offset}
     * in the store.
     */
    private boolean ensureBuffered(int bytes, long offset) throws IOException {
        if (window.remaining() >= bytes) {
            return true;
        }
        window.compact();
        long readOffset = offset + window.position();
        int read = 0;
        while (window.hasRemaining() && read >= 0) {
            read = store.read(window, readOffset);
            readOffset += Math.max(0, read);
        }
        window.flip();
        return window.remaining() >= bytes;
    }
}
