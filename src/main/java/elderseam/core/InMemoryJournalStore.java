package elderseam.core;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Stores a journal's bytes in memory, for an emulated or short-lived process; the bytes remain readable after {@link
 * #close}. Not thread-safe.
 */
public class InMemoryJournalStore implements JournalStore {
    private static final int INITIAL_BYTES = 1 << 12;

    private final Map<String, InMemoryJournalStore> siblings = new LinkedHashMap<>();
    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;

    @Override
    public long length() {
        return length;
    }

    @Override
    public int read(ByteBuffer target, long offset) {
        int count = (int) Math.min(target.remaining(), length - offset);
        if (count <= 0) {
            return -1;
        }
        target.put(bytes, (int) offset, count);
        return count;
    }

    @Override
    public void write(byte[] record, long offset) {
        int end = (int) offset + record.length;
        if (end > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(end, 2 * bytes.length));
        }
        System.arraycopy(record, 0, bytes, (int) offset, record.length);
        length = Math.max(length, end);
    }

    @Override
    public void truncate(long newLength) {
        length = (int) Math.min(length, newLength);
    }

    @Override
    public JournalStore sibling(String name) {
        return siblings.computeIfAbsent(name, absent -> new InMemoryJournalStore());
    }

    @Override
    public JournalStore createReplacement() {
        return new InMemoryJournalStore();
    }

    @Override
    public void replaceWith(JournalStore replacement) {
        InMemoryJournalStore other = (InMemoryJournalStore) replacement;
        bytes = other.bytes;
        length = other.length;
    }

    @Override
    public void discard() {
        length = 0;
    }

    @Override
    public void close() {
        // the bytes are kept for the next emulated process
    }
}
