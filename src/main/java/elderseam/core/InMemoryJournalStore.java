package elderseam.core;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** A journal's bytes in memory, for a process that is emulated or thrown away. Not thread-safe. */
public class InMemoryJournalStore implements JournalStore {
    private final Map<String, InMemoryJournalStore> aside = new LinkedHashMap<>();
    private byte[] bytes = new byte[1 << 12];
    private int length;

    @Override
    public long length() {
        return length;
    }

    @Override
    public int read(ByteBuffer to, long at) {
        int n = (int) Math.min(to.remaining(), length - at);
        if (n <= 0) {
            return -1;
        }
        to.put(bytes, (int) at, n);
        return n;
    }

    @Override
    public void write(byte[] record, long at) {
        int end = (int) at + record.length;
        if (end > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(end, 2 * bytes.length));
        }
        System.arraycopy(record, 0, bytes, (int) at, record.length);
        length = Math.max(length, end);
    }

    @Override
    public void truncate(long to) {
        length = (int) Math.min(length, to);
    }

    @Override
    public JournalStore aside(String name) {
        return aside.computeIfAbsent(name, n -> new InMemoryJournalStore());
    }

    @Override
    public JournalStore fresh() {
        return new InMemoryJournalStore();
    }

    @Override
    public void replace(JournalStore fresh) {
        bytes = ((InMemoryJournalStore) fresh).bytes;
        length = ((InMemoryJournalStore) fresh).length;
    }

    @Override
    public void discard() {
        length = 0;
    }

    @Override
    public void close() {
        // stays, for the next process
    }
}
