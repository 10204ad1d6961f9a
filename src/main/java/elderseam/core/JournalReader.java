package elderseam.core;

import static elderseam.core.JournalRecords.HEAD;
import static elderseam.core.JournalRecords.MOST;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Reads the records of a journal from its store, by the window: a call for each record of a full file took longer than all the rest
 *  of a start. */
final class JournalReader {
    private static final int WINDOW = 1 << 20;

    /** What takes each record: its content, and how many bytes it has. */
    interface Taking {
        void take(DataInputStream in, int bytes) throws IOException;
    }

    private final JournalStore store;
    private final ByteBuffer window;

    private JournalReader(JournalStore store, long length) {
        this.store = store;
        window = ByteBuffer.allocate((int) Math.min(length, WINDOW));
        window.flip();
    }

    /** Hands each whole record over, up to the first that is none; where that begins. */
    static long read(JournalStore store, Taking each) throws IOException {
        long length = store.length();
        return new JournalReader(store, length).read(length, each);
    }

    private long read(long length, Taking each) throws IOException {
        long at = 0;
        while (at + HEAD <= length && fill(HEAD, at)) {
            int bytes = window.getInt(window.position());
            int sum = window.getInt(window.position() + 4);
            if (bytes <= 0 || bytes > MOST || at + HEAD + bytes > length || !fill(HEAD + bytes, at)) {
                break;
            }
            int from = window.position() + HEAD;
            if (JournalRecords.checksum(window.array(), from, bytes) != sum) {
                break;
            }
            each.take(new DataInputStream(new ByteArrayInputStream(window.array(), from, bytes)), bytes);
            window.position(from + bytes);
            at += HEAD + bytes;
        }
        return at;
    }

    /** Sees to it that the window holds so many bytes from its position on, which is that place of the file. */
    private boolean fill(int bytes, long at) throws IOException {
        if (window.remaining() >= bytes) {
            return true;
        }
        window.compact();
        long from = at + window.position();
        for (int n = 0; window.hasRemaining() && n >= 0; from += Math.max(0, n)) {
            n = store.read(window, from);
        }
        window.flip();
        return window.remaining() >= bytes;
    }
}
