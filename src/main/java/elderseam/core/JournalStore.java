package elderseam.core;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Storage for the journal's bytes: a file, or memory if the whole lifetime of a process is emulated. Confined to the
 * event-loop thread; every method throws {@link IOException} if the storage fails.
 */
public interface JournalStore extends Closeable {
    /** The number of bytes stored. */
    long length() throws IOException;

    /** Reads at an offset. Returns the number of bytes read, or -1 at the end. */
    int read(ByteBuffer target, long offset) throws IOException;

    /** Writes all bytes at an offset, or throws; the caller overwrites partly written bytes later. */
    void write(byte[] bytes, long offset) throws IOException;

    /** Truncates the store to at most {@code length} bytes. */
    void truncate(long length) throws IOException;

    /** Opens the store of the given name next to this one, with its existing content. */
    JournalStore sibling(String name) throws IOException;

    /** Creates an empty store that may replace this one. */
    JournalStore createReplacement() throws IOException;

    /**
     * Replaces the content of this store atomically by the given store, which {@link #createReplacement} has returned.
     */
    void replaceWith(JournalStore replacement) throws IOException;

    /** Deletes a replacement store that is not used. */
    void discard() throws IOException;
}
