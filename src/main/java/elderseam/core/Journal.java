package elderseam.core;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The durable state of the process: each accepted message, its attempts, its final outcome, and whether its client was
 * notified of that outcome. Records are appended to a {@link JournalLog}; a {@link JournalIndex} holds the same state
 * in memory.
 *
 * <p>During a compaction the log and its replacement exist side by side, so live records may use at most half of the
 * capacity. A message for which there is no capacity is not accepted. If the record of a past event cannot be written,
 * it is deferred and written before any later record. Confined to the event-loop thread.
 */
public final class Journal implements AutoCloseable {
    /** Part of the capacity that is never used, in bytes. */
    private static final int MARGIN_BYTES = 16 << 10;

    private static final byte[] EMPTY_RECORD = {};

    private final JournalStore store;
    private final long capacity;
    private final Clock clock;
    private final JournalIndex index;
    private final JournalLog log;

    /** Opens a journal of at most {@code capacityBytes} in a folder, which is created if absent. */
    public Journal(Path folder, long capacityBytes, Clock clock) throws IOException {
        this(new FileJournalStore(folder), capacityBytes, clock);
    }

    /** Opens a journal of at most {@code capacityBytes} in any store and reads the records of an earlier process. */
    public Journal(JournalStore store, long capacityBytes, Clock clock) throws IOException {
        this.store = store;
        this.capacity = capacityBytes - MARGIN_BYTES;
        this.clock = clock;
        this.index = new JournalIndex(clock);
        this.log = new JournalLog(store, capacity, clock, index);
    }

    /** Opens the store of the given name next to the journal. */
    JournalStore siblingStore(String name) throws IOException {
        return store.sibling(name);
    }

    // ---------------------------------------------------------------- messages

    /** Records an accepted message. Returns false, and writes nothing, if there is no capacity. */
    public boolean accepted(ActiveRequest.Message message) {
        byte[] record = JournalRecordEncoder.accepted(
                message, clock.toSteady(message.deadline()), clock.toSteady(message.rememberUntil()));
        byte[] key = message.hasDeduplicationKey()
                ? JournalRecordEncoder.deduplicationKey(message.id(), message.deduplicationKey())
                : EMPTY_RECORD;
        byte[] records = joined(key, orderKeyRecord(message), record);
        if (!hasCapacity(records.length + JournalEntry.RESERVED_BYTES) || !log.append(records)) {
            return false;
        }
        index.deduplicationKey(message.id(), message.deduplicationKey());
        index.orderKey(message.id(), message.orderKey());
        index.accepted(message, records.length);
        return true;
    }

    /**
     * Concatenates records so that they are appended in one write: a compaction between two writes would drop a record
     * that the index does not contain yet.
     */
    private static byte[] joined(byte[]... records) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] record : records) {
            joined.writeBytes(record);
        }
        return joined.toByteArray();
    }

    private static byte[] orderKeyRecord(ActiveRequest.Message message) {
        return message.isOrdered() ? JournalRecordEncoder.orderKey(message.id(), message.orderKey()) : EMPTY_RECORD;
    }

    /**
     * Records an accepted duplicate, which waits for the outcome of another message with the same key. Returns false if
     * there is no capacity.
     */
    public boolean acceptedDuplicate(ActiveRequest.Message message) {
        byte[] record = JournalRecordEncoder.acceptedDuplicate(
                message, clock.toSteady(message.deadline()), clock.toSteady(message.rememberUntil()));
        byte[] records = joined(orderKeyRecord(message), record);
        if (!hasCapacity(records.length + JournalEntry.RESERVED_BYTES) || !log.append(records)) {
            return false;
        }
        index.orderKey(message.id(), message.orderKey());
        index.acceptedDuplicate(message, records.length);
        return true;
    }

    private boolean hasCapacity(int additionalBytes) {
        return 2 * (index.liveBytes() + additionalBytes) <= capacity;
    }

    /** As {@link #attemptBegins(String, String)}, with an unknown zone. */
    public boolean attemptBegins(String id) {
        return attemptBegins(id, "");
    }

    /**
     * Records that an attempt is about to be sent. Returns false if the record could not be written.
     *
     * @param zone the name of its endpoint's zone; empty if unknown
     */
    public boolean attemptBegins(String id, String zone) {
        return attemptBegan(id, clock.now(), zone);
    }

    /** As {@link #attemptBegins(String, String)}, for an attempt that began at {@code start}. */
    boolean attemptBegan(String id, long start, String zone) {
        long steadyMs = clock.toSteady(start);
        if (!log.append(JournalRecordEncoder.attemptBegan(id, steadyMs, zone))) {
            return false;
        }
        index.attemptBegan(id, steadyMs, zone);
        return true;
    }

    /**
     * Records the end of the attempt in flight, if its start was recorded. A record that cannot be written now is
     * deferred.
     */
    public void attemptEnded(String id, boolean mayHaveRun) {
        if (!index.hasAttemptInFlight(id)) {
            return;
        }
        log.appendOrDefer(JournalRecordEncoder.attemptEnded(id, mayHaveRun));
        index.attemptEnded(id, mayHaveRun);
    }

    /**
     * Records the final outcome of a message. A record that cannot be written now is deferred, except for a rejection,
     * which then becomes a failure: after a rejection the client may submit the message again, and a restart would send
     * the unfinished original too.
     *
     * @param acknowledged whether the client was told that the message is accepted, so that it must be notified of a
     *     rejection or failure
     * @return the recorded outcome
     */
    public FinalOutcome completed(ActiveRequest.Message message, FinalOutcome outcome, boolean acknowledged) {
        JournalEntry entry = completedEntry(message, outcome, acknowledged);
        if (outcome.isRejection() && !log.append(JournalRecordEncoder.completed(message.id(), entry))) {
            return log.isSuspended() ? complete(message, entry) : completed(message, FinalOutcome.FAILED, acknowledged);
        }
        if (!outcome.isRejection()) {
            log.appendOrDefer(JournalRecordEncoder.completed(message.id(), entry));
        }
        return complete(message, entry);
    }

    private JournalEntry completedEntry(ActiveRequest.Message message, FinalOutcome outcome, boolean acknowledged) {
        return JournalEntry.completed(
                message.frontend(),
                clock.toSteady(message.rememberUntil()),
                outcome,
                acknowledged && outcome.needsNotification());
    }

    private FinalOutcome complete(ActiveRequest.Message message, JournalEntry entry) {
        index.completed(message.id(), entry);
        index.sweepIfGrown();
        return entry.outcome;
    }

    /**
     * Records that the client was notified of the message's outcome, if that notification was pending. A record that
     * cannot be written now is deferred.
     */
    public void notified(String id) {
        if (index.isNotificationPending(id)) {
            log.appendOrDefer(JournalRecordEncoder.notified(id));
            index.notified(id);
        }
    }

    /**
     * Sets the listener that is run when a record is deferred. It must arrange for {@link #writeDeferredRecords} to be
     * called until that returns true.
     */
    void onRecordsDeferred(Runnable listener) {
        log.onRecordsDeferred(listener);
    }

    /** Tries to write the deferred records. Returns whether none remains. */
    boolean writeDeferredRecords() {
        return log.writeDeferred();
    }

    /** The number of deferred records. */
    int deferredRecordCount() {
        return log.deferredRecordCount();
    }

    /** The final outcome of a message, if the journal still retains it. */
    public Optional<FinalOutcome> outcome(String id) {
        return index.outcome(id);
    }

    /**
     * The final outcome of the last message with the given key. Empty after a rejection too, since a rejected message
     * may be submitted again.
     */
    public Optional<FinalOutcome> outcomeOfKey(String deduplicationKey) {
        return index.outcomeOfKey(deduplicationKey);
    }

    /** Whether any message of the front end is unfinished or has a notification pending. */
    public boolean hasWorkFor(byte frontend) {
        return index.hasWorkFor(frontend);
    }

    // ---------------------------------------------------------------- recovery

    /** The duplicates that were waiting for the outcome of another message when the earlier process ended. */
    List<ActiveRequest.Message> waitingDuplicates() {
        return index.waitingDuplicates();
    }

    /**
     * The requests that the earlier process left without an outcome, except those it still has in flight (during a
     * handover).
     *
     * @param inFlight the ids of the requests with an attempt in flight in the earlier process
     */
    List<ActiveRequest> unfinished(Set<String> inFlight) {
        return index.unfinished(inFlight);
    }

    /** Those of the given requests, each with an attempt in flight, that have no outcome yet. */
    List<ActiveRequest> unfinishedAmong(Set<String> inFlight) {
        return index.unfinishedAmong(inFlight);
    }

    /** The outcomes of which clients have not been notified yet. The messages carry only id, front end and times. */
    Map<ActiveRequest.Message, FinalOutcome> unnotifiedOutcomes() {
        return index.unnotifiedOutcomes();
    }

    /**
     * The ordering keys by message id, in order of acceptance, of the messages that are unfinished or whose clients
     * have not been notified of the outcome.
     */
    Map<String, String> unsettledOrderKeys() {
        return index.unsettledOrderKeys();
    }

    /** Whether the journal contains no message. */
    boolean isEmpty() {
        return index.isEmpty();
    }

    // ---------------------------------------------------------------- operators' settings

    /**
     * Stores the text of a key scheme for as long as any key of that scheme is retained, so that its keys can be
     * computed again, and makes it the current scheme. Returns false if there is no capacity.
     */
    public boolean putKeyScheme(String name, byte[] text) {
        if (index.hasScheme(name, text)) {
            index.setCurrentScheme(name, text);
            return true;
        }
        byte[] record = JournalRecordEncoder.scheme(name, text);
        if (!hasCapacity(record.length) || !log.append(record)) {
            return false;
        }
        index.scheme(name, text, record.length);
        return true;
    }

    /** Unsets the current scheme: new messages get no key from a scheme. */
    public void clearCurrentKeyScheme() {
        index.clearCurrentScheme();
    }

    /** The texts by name of the current scheme and of each scheme that retained keys come from. */
    public Map<String, byte[]> keySchemes() {
        index.sweep();
        return index.schemes();
    }

    /** Records the start or the end of an operator's drain of an endpoint. Returns false if there is no capacity. */
    boolean setDrained(String endpoint, boolean drained) {
        if (index.isDrained(endpoint) == drained) {
            return true;
        }
        byte[] record = JournalRecordEncoder.drain(endpoint, drained);
        boolean fits = !drained || hasCapacity(record.length);
        if (!fits || !log.append(record)) {
            return false;
        }
        index.drain(endpoint, drained, record.length);
        return true;
    }

    /** The endpoints that an operator has drained. */
    Set<String> drainedEndpoints() {
        return index.drainedEndpoints();
    }

    // ---------------------------------------------------------------- ownership of the file

    /** Stops writing until {@link #resume}, because another process now owns the file. */
    public void suspend() {
        log.suspend();
    }

    /** Resumes writing after the other process has ended: replaces the file by the state of this process. */
    public void resume() {
        log.resume();
    }

    @Override
    public void close() throws IOException {
        store.close();
    }
}
