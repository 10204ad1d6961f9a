package elderseam.core;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The journal's file in a folder, and the one that is written to take its place. */
final class JournalFiles implements JournalStore {
    private final Path file;
    private FileChannel channel;

    JournalFiles(Path folder) throws IOException {
        this(folder.resolve("journal"), false);
        Files.deleteIfExists(spare());
    }

    private JournalFiles(Path file, boolean fresh) throws IOException {
        this.file = file;
        Files.createDirectories(file.getParent());
        channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        if (fresh) {
            channel.truncate(0);
        }
    }

    private Path spare() {
        return file.resolveSibling("journal.new");
    }

    @Override
    public long length() throws IOException {
        return channel.size();
    }

    @Override
    public int read(ByteBuffer to, long at) throws IOException {
        return channel.read(to, at);
    }

    @Override
    public void write(byte[] bytes, long at) throws IOException {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        while (b.hasRemaining()) {
            channel.write(b, at + b.position());
        }
    }

    @Override
    public void truncate(long length) throws IOException {
        channel.truncate(length);
    }

    @Override
    public JournalStore aside(String name) throws IOException {
        return new JournalFiles(file.resolveSibling(name), false);
    }

    @Override
    public JournalStore fresh() throws IOException {
        return new JournalFiles(spare(), true);
    }

    @Override
    public void replace(JournalStore fresh) throws IOException {
        Files.move(spare(), file, StandardCopyOption.ATOMIC_MOVE);
        channel.close();
        channel = ((JournalFiles) fresh).channel;
    }

    @Override
    public void discard() throws IOException {
        channel.close();
        Files.deleteIfExists(file);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
