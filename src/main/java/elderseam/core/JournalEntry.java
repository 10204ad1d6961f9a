package elderseam.core;

import java.util.ArrayList;
import java.util.List;

/** What the journal knows of a message. Times are wall-clock milliseconds; 0 is never. */
final class JournalEntry {
    static final int BOOKKEEPING = 512; // kept free for the later records of each unfinished message

    final byte front;
    final long keepMs;
    ActiveRequest.Message message; // while unfinished
    int size; // of its record, likewise
    int attempts;
    long firstRanMs, outMs; // first attempt that may have run; the one that is out
    FinalOutcome answer;
    boolean owed;
    boolean joined; // waits for the end of another that has its key

    JournalEntry(byte front, long keepMs) {
        this.front = front;
        this.keepMs = keepMs;
    }

    /** What it counts of the cap. */
    int weight() {
        return answer == null ? size + BOOKKEEPING : 160;
    }

    void sent(long wallMs) {
        attempts++;
        outMs = wallMs;
    }

    void result(boolean mayHaveRun) {
        firstRanMs = mayHaveRun && firstRanMs == 0 ? outMs : firstRanMs;
        outMs = 0;
    }

    /** The record of its end. */
    byte[] end(String id) {
        return JournalRecords.ended(id, front, keepMs, answer, owed);
    }

    /** The fewest records that say all of it; {@code same}: its key, or null. */
    List<byte[]> records(String id, String same, Clock clock) {
        List<byte[]> records = new ArrayList<>(3);
        if (same != null) {
            records.add(JournalRecords.keyed(id, same));
        }
        if (answer != null) {
            records.add(end(id));
            return records;
        }
        long deadlineMs = clock.toWall(message.deadline());
        if (joined) {
            records.add(JournalRecords.joined(message, deadlineMs, keepMs));
            return records;
        }
        records.add(JournalRecords.taken(message, deadlineMs, keepMs));
        records.add(JournalRecords.encode(JournalRecords.STATE, id, out -> {
            out.writeInt(attempts);
            out.writeLong(firstRanMs);
            out.writeLong(outMs);
        }));
        return records;
    }
}
