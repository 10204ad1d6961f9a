package elderseam.core;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The in-memory state of the journal: the content of its records, and the number of live bytes in the file. Records are
 * applied in the same way whether they were just written or are read back. Does no I/O; confined to the event-loop
 * thread.
 */
final class JournalIndex implements JournalRecordHandler {
    /** Receives the records of a compacted journal. */
    interface RecordSink {
        void write(byte[] record) throws IOException;
    }

    private static final int MIN_SWEEP_ENTRIES = 1_024;
    private static final byte[] NO_BODY = {};

    private final Clock clock;
    private final Map<String, JournalEntry> entries = new LinkedHashMap<>();
    private final JournalKeys keys = new JournalKeys();

    /**
     * Ordering keys by message id. A message has one until it is settled, that is, until it has an outcome and its
     * client needs no notification.
     */
    private final Map<String, String> orderKeys = new HashMap<>();

    private final Set<String> drained = new LinkedHashSet<>();
    private boolean clockContinued;
    private long drainedBytes;
    private long liveBytes;
    private int sweepThreshold = MIN_SWEEP_ENTRIES;

    JournalIndex(Clock clock) {
        this.clock = clock;
    }

    /** Bytes of the file that are live, including the reserve for later records of unfinished messages. */
    long liveBytes() {
        return liveBytes;
    }

    // ---------------------------------------------------------------- records

    @Override
    public void clock(String bootId, long monotonicMs, long steadyMs) {
        clockContinued = clock.continueSteady(bootId, monotonicMs, steadyMs);
    }

    /** Whether the file relates its times to the monotonic clock of the current boot. */
    boolean isClockContinued() {
        return clockContinued;
    }

    @Override
    public String keyOf(String id) {
        return keys.keyOf(id).orElse("");
    }

    @Override
    public void deduplicationKey(String id, String key) {
        keys.put(id, key);
    }

    @Override
    public String orderKeyOf(String id) {
        return orderKeys.getOrDefault(id, "");
    }

    @Override
    public void orderKey(String id, String key) {
        if (!key.isEmpty()) {
            orderKeys.put(id, key);
        }
    }

    @Override
    public void accepted(ActiveRequest.Message message, int recordBytes) {
        put(message.id(), unfinishedEntry(message, recordBytes, false));
    }

    @Override
    public void acceptedDuplicate(ActiveRequest.Message message, int recordBytes) {
        put(message.id(), unfinishedEntry(message, recordBytes, true));
    }

    private JournalEntry unfinishedEntry(ActiveRequest.Message message, int recordBytes, boolean duplicate) {
        return JournalEntry.unfinished(message, clock.toSteady(message.rememberUntil()), recordBytes, duplicate);
    }

    private void put(String id, JournalEntry entry) {
        JournalEntry replaced = entries.put(id, entry);
        liveBytes += entry.liveBytes() - (replaced == null ? 0 : replaced.liveBytes());
    }

    @Override
    public void attemptBegan(String id, long steadyMs, String zone) {
        JournalEntry entry = entries.get(id);
        if (entry != null) {
            entry.attemptBegan(steadyMs, zone);
        }
    }

    /** Whether an attempt of the message has started and not ended. */
    boolean hasAttemptInFlight(String id) {
        JournalEntry entry = entries.get(id);
        return entry != null && entry.hasAttemptInFlight();
    }

    @Override
    public void attemptEnded(String id, boolean mayHaveRun) {
        JournalEntry entry = entries.get(id);
        if (entry != null) {
            entry.attemptEnded(mayHaveRun);
        }
    }

    @Override
    public void attemptState(String id, AttemptHistory history) {
        JournalEntry entry = entries.get(id);
        if (entry != null) {
            entry.restoreAttempts(history);
        }
    }

    @Override
    public void completed(String id, JournalEntry entry) {
        put(id, entry);
        if (!entry.notificationPending) {
            orderKeys.remove(id);
            removeIfRejected(id, entry);
        }
    }

    @Override
    public void notified(String id) {
        JournalEntry entry = entries.get(id);
        if (entry != null) {
            entry.notificationPending = false;
            orderKeys.remove(id);
            removeIfRejected(id, entry);
        }
    }

    /** Removes a rejected message once its client needs no notification: the client may submit it again. */
    private void removeIfRejected(String id, JournalEntry entry) {
        if (entry.isComplete() && entry.outcome.isRejection()) {
            entries.remove(id);
            liveBytes -= entry.liveBytes();
            keys.remove(id);
        }
    }

    @Override
    public void scheme(String name, byte[] text, int recordBytes) {
        keys.setCurrentScheme(name, text);
        liveBytes += recordBytes;
    }

    @Override
    public void drain(String endpoint, boolean drain, int recordBytes) {
        boolean changed = drain ? drained.add(endpoint) : drained.remove(endpoint);
        if (changed) {
            int change = drain ? recordBytes : -recordBytes;
            liveBytes += change;
            drainedBytes += change;
        }
    }

    // ---------------------------------------------------------------- sweep and compaction

    /**
     * Sweeps once the number of entries has doubled. Sweeping only when the file is full would let the entries grow
     * until then, because ids are never reused.
     */
    void sweepIfGrown() {
        if (entries.size() >= sweepThreshold) {
            sweep();
            sweepThreshold = Math.max(MIN_SWEEP_ENTRIES, 2 * entries.size());
        }
    }

    /** Removes the outcomes that no longer need to be retained. */
    void sweep() {
        long steadyMs = clock.steadyMs();
        entries.entrySet().removeIf(candidate -> {
            boolean expired = candidate.getValue().isExpired(steadyMs);
            if (expired) {
                keys.remove(candidate.getKey());
            }
            return expired;
        });
        orderKeys.keySet().retainAll(entries.keySet()); // keys whose message was never recorded as accepted
        long entryBytes =
                entries.values().stream().mapToLong(JournalEntry::liveBytes).sum();
        liveBytes = entryBytes + keys.schemeBytes() + drainedBytes;
    }

    /** Writes the smallest set of records that restores the live state. */
    void writeTo(RecordSink sink) throws IOException {
        String bootId = clock.bootId();
        if (!bootId.isEmpty()) { // first, because the times in all other records depend on it
            sink.write(JournalRecordEncoder.clock(bootId, clock.monotonicMs(), clock.steadyMs()));
        }
        for (Map.Entry<String, byte[]> scheme : keys.schemes().entrySet()) {
            sink.write(JournalRecordEncoder.scheme(scheme.getKey(), scheme.getValue()));
        }
        for (String endpoint : drained) {
            sink.write(JournalRecordEncoder.drain(endpoint, true));
        }
        for (Map.Entry<String, JournalEntry> entry : entries.entrySet()) {
            String id = entry.getKey();
            Optional<String> key = keys.keyOf(id);
            if (key.isPresent()) {
                sink.write(JournalRecordEncoder.deduplicationKey(id, key.get()));
            }
            if (orderKeys.containsKey(id)) {
                sink.write(JournalRecordEncoder.orderKey(id, orderKeys.get(id)));
            }
            for (byte[] record : entry.getValue().toRecords(id, clock)) {
                sink.write(record);
            }
        }
    }

    // ---------------------------------------------------------------- messages

    /** Whether the index contains no message. */
    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** The ordering keys of the unsettled messages by message id, in order of acceptance. */
    Map<String, String> unsettledOrderKeys() {
        Map<String, String> unsettled = new LinkedHashMap<>();
        for (String id : entries.keySet()) {
            if (orderKeys.containsKey(id)) {
                unsettled.put(id, orderKeys.get(id));
            }
        }
        return unsettled;
    }

    /** The final outcome of a message, if it is retained. */
    Optional<FinalOutcome> outcome(String id) {
        JournalEntry entry = entries.get(id);
        return entry == null ? Optional.empty() : Optional.ofNullable(entry.outcome);
    }

    /** The final outcome of the last message with the given key, unless it was a rejection. */
    Optional<FinalOutcome> outcomeOfKey(String key) {
        return keys.idOf(key).flatMap(this::outcome).filter(outcome -> !outcome.isRejection());
    }

    /** Whether the client of the message has yet to be notified of its outcome. */
    boolean isNotificationPending(String id) {
        JournalEntry entry = entries.get(id);
        return entry != null && entry.notificationPending;
    }

    /** Whether any message of the front end is unfinished or has a notification pending. */
    boolean hasWorkFor(byte frontend) {
        return entries.values().stream()
                .anyMatch(entry -> entry.frontend == frontend && (!entry.isComplete() || entry.notificationPending));
    }

    /** The duplicates that wait for the outcome of another message. */
    List<ActiveRequest.Message> waitingDuplicates() {
        return entries.values().stream()
                .filter(entry -> entry.duplicate && !entry.isComplete())
                .map(entry -> entry.message)
                .toList();
    }

    /**
     * The requests without an outcome, except those with the given ids. An attempt that was in flight when the process
     * ended may have run.
     */
    List<ActiveRequest> unfinished(Set<String> except) {
        List<ActiveRequest> unfinished = new ArrayList<>();
        entries.forEach((id, entry) -> {
            if (entry.isDispatchable() && !except.contains(id)) {
                entry.attemptEnded(entry.hasAttemptInFlight());
                unfinished.add(entry.toRequest(clock));
            }
        });
        return unfinished;
    }

    /** The requests without an outcome among the given ids. */
    List<ActiveRequest> unfinishedAmong(Set<String> ids) {
        return ids.stream()
                .map(entries::get)
                .filter(entry -> entry != null && entry.isDispatchable())
                .map(entry -> entry.toRequest(clock))
                .toList();
    }

    /** The outcomes of which clients have not been notified yet. */
    Map<ActiveRequest.Message, FinalOutcome> unnotifiedOutcomes() {
        Map<ActiveRequest.Message, FinalOutcome> unnotified = new LinkedHashMap<>();
        entries.forEach((id, entry) -> {
            if (entry.notificationPending) {
                long retainUntil = clock.fromSteady(entry.retainUntilMs);
                ActiveRequest.Message message = new ActiveRequest.Message(
                        id, entry.frontend, 0, 0, 0, retainUntil, retainUntil, false, true, "", NO_BODY);
                unnotified.put(message, entry.outcome);
            }
        });
        return unnotified;
    }

    // ---------------------------------------------------------------- operators' settings

    /** Whether the scheme is stored with the given text. */
    boolean hasScheme(String name, byte[] text) {
        return keys.hasScheme(name, text);
    }

    /** Makes a stored scheme the current one. */
    void setCurrentScheme(String name, byte[] text) {
        keys.setCurrentScheme(name, text);
    }

    /** Unsets the current scheme. */
    void clearCurrentScheme() {
        keys.clearCurrentScheme();
    }

    /** The texts by name of the schemes in use, the current one last. */
    Map<String, byte[]> schemes() {
        return keys.schemes();
    }

    /** Whether an operator has drained the endpoint. */
    boolean isDrained(String endpoint) {
        return drained.contains(endpoint);
    }

    /** The endpoints that an operator has drained. */
    Set<String> drainedEndpoints() {
        return Set.copyOf(drained);
    }
}
