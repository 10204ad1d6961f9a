package elderseam.core;

import static elderseam.logging.LogField.error;

import elderseam.logging.EventLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A journal stored in a file, and the replacement file that a compaction writes. Confined to the event-loop thread. */
final class FileJournalStore implements JournalStore {
    private static final EventLogger LOG = EventLogger.of(FileJournalStore.class);

    private static final String NAME = "journal";
    private static final String REPLACEMENT_NAME = "journal.new";

    private final Path file;
    private FileChannel channel;

    /** Opens the journal file in a folder, creating both if absent, and deletes an unfinished replacement file. */
    FileJournalStore(Path folder) throws IOException {
        this(folder.resolve(NAME), false);
        Files.deleteIfExists(replacementFile());
    }

    private FileJournalStore(Path file, boolean truncate) throws IOException {
        this.file = file;
        Files.createDirectories(file.getParent());
        channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        if (truncate) {
            channel.truncate(0);
        }
    }

    private Path replacementFile() {
        return file.resolveSibling(REPLACEMENT_NAME);
    }

    @Override
    public long length() throws IOException {
        return channel.size();
    }

    @Override
    public int read(ByteBuffer target, long offset) throws IOException {
        return channel.read(target, offset);
    }

    @Override
    public void write(byte[] bytes, long offset) throws IOException {
        ByteBuffer source = ByteBuffer.wrap(bytes);
        while (source.hasRemaining()) {
            channel.write(source, offset + source.position());
        }
    }

    @Override
    public void truncate(long length) throws IOException {
        channel.truncate(length);
    }

    @Override
    public JournalStore sibling(String name) throws IOException {
        return new FileJournalStore(file.resolveSibling(name), false);
    }

    @Override
    public JournalStore createReplacement() throws IOException {
        return new FileJournalStore(replacementFile(), true);
    }

    @Override
    public void replaceWith(JournalStore replacement) throws IOException {
        Files.move(replacementFile(), file, StandardCopyOption.ATOMIC_MOVE);
        FileChannel oldChannel = channel;
        // assigned first: the new channel must be in use even if closing the old one fails
        channel = ((FileJournalStore) replacement).channel;
        try {
            oldChannel.close();
        } catch (IOException e) {
            LOG.warn("journal.close_failed", error(e)); // harmless: the old file is no longer used
        }
    }

    @Override
    public void discard() throws IOException {
        try {
            channel.close();
        } finally {
            Files.deleteIfExists(file);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
