package elderseam.core;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Where the journal's bytes lie: a file, or memory where a process's whole life is emulated. */
public interface JournalStore extends Closeable {
    long length() throws IOException;

    /** As a channel reads: how many, or -1 at the end. */
    int read(ByteBuffer to, long at) throws IOException;

    /** All of them, or fails; what was half written is written over later. */
    void write(byte[] bytes, long at) throws IOException;

    void truncate(long length) throws IOException;

    /** What is kept beside this one under that name, as it was left. */
    JournalStore aside(String name) throws IOException;

    /** An empty one beside this one. */
    JournalStore fresh() throws IOException;

    /** The fresh one takes the place of this one, at once or not at all. */
    void replace(JournalStore fresh) throws IOException;

    /** A fresh one that is not to take any place. */
    void discard() throws IOException;
}
