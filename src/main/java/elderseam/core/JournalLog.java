package elderseam.core;

import static elderseam.logging.LogField.error;

import elderseam.logging.EventLogger;
import java.io.IOException;
import java.util.ArrayDeque;

/**
 * The append-only log of the journal's records. Opening it truncates an incomplete record at its end. When the log is
 * full, it is compacted: the live state is written to a new file that replaces the old one. Confined to the event-loop
 * thread.
 */
final class JournalLog {
    private static final EventLogger LOG = EventLogger.of(JournalLog.class);

    private final JournalStore store;
    private final long capacity;
    private final JournalIndex index;
    private long size;
    private boolean suspended;
    private boolean failing;

    /**
     * Records that could not be written yet, oldest first. The index contains them already; there are at most a few for
     * each message in flight.
     */
    private final ArrayDeque<byte[]> deferred = new ArrayDeque<>();

    private Runnable onRecordsDeferred = () -> {};

    /**
     * Opens the log and reads its records into the index.
     *
     * @param capacity maximum size of the log, in bytes
     */
    JournalLog(JournalStore store, long capacity, Clock clock, JournalIndex index) throws IOException {
        this.store = store;
        this.capacity = capacity;
        this.index = index;
        size = JournalReader.read(store, new JournalRecordDecoder(clock, index));
        store.truncate(size);
        if (!index.isClockContinued()) { // new file, earlier boot, or a version without clock records
            rewrite();
        }
    }

    /** Replaces the file by the state of the index. If that fails, the old file remains in use. */
    private void rewrite() {
        try {
            compact();
        } catch (IOException e) {
            LOG.warn("journal.compaction_failed", error(e));
        }
    }

    /** Sets the listener that is run when a record could not be written and was deferred. */
    void onRecordsDeferred(Runnable listener) {
        onRecordsDeferred = listener;
    }

    /**
     * Appends a record, or several that belong together, after all deferred records. Returns false if there is no
     * capacity, another process owns the file, or the store failed, which is logged.
     */
    boolean append(byte[] record) {
        return !suspended && writeDeferred() && write(record);
    }

    /**
     * Appends the record of a past event. A record that cannot be written is deferred: {@link #writeDeferred} writes it
     * before any other. Returns false if the record was deferred.
     */
    boolean appendOrDefer(byte[] record) {
        if (suspended || append(record)) {
            return true; // the process that owns the file writes its own records
        }
        deferred.add(record);
        onRecordsDeferred.run();
        return false;
    }

    /** Writes the deferred records in their order. Returns false if some could not be written and must be retried. */
    boolean writeDeferred() {
        if (suspended) {
            return true; // another process owns the file; resume writes the whole state
        }
        while (!deferred.isEmpty()) {
            if (!write(deferred.peek())) {
                return false;
            }
            deferred.poll(); // no-op if a compaction has written and cleared the deferred records
        }
        return true;
    }

    /** The number of deferred records. */
    int deferredRecordCount() {
        return deferred.size();
    }

    private boolean write(byte[] record) {
        try {
            // the log with this record and its compacted replacement must fit into the capacity together
            if (size + 2L * record.length + Math.max(0, index.liveBytes()) > capacity) {
                compact();
            }
            if (size + record.length > capacity) {
                return false;
            }
            store.write(record, size);
            size += record.length;
            logRecovery();
            return true;
        } catch (IOException e) {
            logFirstFailure(e);
            return false; // a partly written record lies past the end and is overwritten by the next write
        }
    }

    /** Logs a write failure only once until a write succeeds, because failed writes are retried often. */
    private void logFirstFailure(IOException failure) {
        if (!failing) {
            LOG.warn("journal.write_failed", error(failure));
        }
        failing = true;
    }

    private void logRecovery() {
        if (failing) {
            LOG.info("journal.write_recovered");
        }
        failing = false;
    }

    /** Writes the live state to a new file, which then replaces the old one. */
    private void compact() throws IOException {
        index.sweep();
        JournalStore replacement = store.createReplacement();
        Appender appender = new Appender(replacement);
        try {
            index.writeTo(appender);
            store.replaceWith(replacement);
        } catch (IOException e) {
            discard(replacement, e);
            throw e;
        }
        size = appender.size;
        deferred.clear(); // their content is in the index and thus in the new file
    }

    /** Discards an unfinished file; a further failure is attached to the original cause. */
    private static void discard(JournalStore unfinished, IOException cause) {
        try {
            unfinished.discard();
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }

    /** Appends records to a new file. */
    private static final class Appender implements JournalIndex.RecordSink {
        private final JournalStore target;
        private long size;

        Appender(JournalStore target) {
            this.target = target;
        }

        @Override
        public void write(byte[] record) throws IOException {
            target.write(record, size);
            size += record.length;
        }
    }

    /** Whether another process owns the file. */
    boolean isSuspended() {
        return suspended;
    }

    /** Stops appending until {@link #resume}. */
    void suspend() {
        suspended = true;
    }

    /**
     * Replaces the file by the state of the index and resumes appending. If the replacement fails, the old file remains
     * in use.
     */
    void resume() {
        suspended = false;
        rewrite();
        if (!deferred.isEmpty()) {
            onRecordsDeferred.run();
        }
    }
}
