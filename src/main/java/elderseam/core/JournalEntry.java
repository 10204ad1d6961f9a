package elderseam.core;

import java.util.List;

/**
 * The journal's state of one message. Times are milliseconds of the steady clock; 0 means never. Confined to the
 * event-loop thread.
 */
final class JournalEntry {
    /** Capacity reserved for the later records of each unfinished message, in bytes. */
    static final int RESERVED_BYTES = 512;

    /** Capacity that a completed message is counted with, in bytes. */
    private static final int COMPLETED_BYTES = 160;

    final byte frontend;
    final long retainUntilMs;

    /** Whether the message waits for the outcome of another message with the same key. */
    final boolean duplicate;

    /** The message while it is unfinished; null once it has an outcome. */
    final ActiveRequest.Message message;

    /** The final outcome; null while the message is unfinished. */
    final FinalOutcome outcome;

    /** Whether the client has yet to be notified of the outcome. */
    boolean notificationPending;

    private final int recordBytes;
    private AttemptHistory history = AttemptHistory.NONE;

    private JournalEntry(
            byte frontend,
            long retainUntilMs,
            boolean duplicate,
            ActiveRequest.Message message,
            int recordBytes,
            FinalOutcome outcome,
            boolean notificationPending) {
        this.frontend = frontend;
        this.retainUntilMs = retainUntilMs;
        this.duplicate = duplicate;
        this.message = message;
        this.recordBytes = recordBytes;
        this.outcome = outcome;
        this.notificationPending = notificationPending;
    }

    /** Creates the entry of an accepted message, whose record occupies {@code recordBytes} of the file. */
    static JournalEntry unfinished(
            ActiveRequest.Message message, long retainUntilMs, int recordBytes, boolean duplicate) {
        return new JournalEntry(message.frontend(), retainUntilMs, duplicate, message, recordBytes, null, false);
    }

    /** Creates the entry of a message with an outcome. */
    static JournalEntry completed(
            byte frontend, long retainUntilMs, FinalOutcome outcome, boolean notificationPending) {
        return new JournalEntry(frontend, retainUntilMs, false, null, 0, outcome, notificationPending);
    }

    /** Whether the message has its final outcome. */
    boolean isComplete() {
        return outcome != null;
    }

    /** Whether the message is unfinished and attempts may be made for it. */
    boolean isDispatchable() {
        return outcome == null && !duplicate;
    }

    /** Whether the outcome no longer needs to be retained. */
    boolean isExpired(long steadyMs) {
        return isComplete() && !notificationPending && retainUntilMs < steadyMs;
    }

    /** The capacity that this entry is counted with, in bytes. */
    int liveBytes() {
        return isComplete() ? COMPLETED_BYTES : recordBytes + RESERVED_BYTES;
    }

    /** Whether an attempt is in flight. */
    boolean hasAttemptInFlight() {
        return history.hasAttemptInFlight();
    }

    /** Records the start of an attempt. A previous attempt whose end was never recorded may have run. */
    void attemptBegan(long steadyMs, String zone) {
        history = history.afterStart(steadyMs, zone);
    }

    /** Records the end of the attempt in flight. */
    void attemptEnded(boolean mayHaveRun) {
        history = history.afterEnd(mayHaveRun);
    }

    /** Restores the state of the attempts from the single record of a compacted journal. */
    void restoreAttempts(AttemptHistory restored) {
        history = restored;
    }

    /** Creates the request in the state in which its process ended. Only for an unfinished message. */
    ActiveRequest toRequest(Clock clock) {
        ActiveRequest request = new ActiveRequest(message);
        request.attempts = history.attempts();
        request.mayHaveRun = history.mayHaveRun();
        request.mayHaveRunZone = history.firstMayHaveRunZone();
        long firstMayHaveRun = clock.fromSteady(history.firstMayHaveRunMs());
        request.deduplicatedUntil = Math.min(clock.now(), firstMayHaveRun); // never in the future
        return request;
    }

    /** The smallest set of records that restores this entry, apart from its keys. */
    List<byte[]> toRecords(String id, Clock clock) {
        if (isComplete()) {
            return List.of(JournalRecordEncoder.completed(id, this));
        }
        long deadlineMs = clock.toSteady(message.deadline());
        if (duplicate) {
            return List.of(JournalRecordEncoder.acceptedDuplicate(message, deadlineMs, retainUntilMs));
        }
        return List.of(
                JournalRecordEncoder.accepted(message, deadlineMs, retainUntilMs),
                JournalRecordEncoder.attemptState(id, history));
    }
}
