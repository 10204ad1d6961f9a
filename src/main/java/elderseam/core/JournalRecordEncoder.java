package elderseam.core;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** Encodes the journal's records; times are milliseconds of the steady clock. */
final class JournalRecordEncoder {
    private static final int INITIAL_BYTES = 256;

    /** Writes the content that is specific to a record type. */
    private interface Content {
        void writeTo(DataOutputStream out) throws IOException;
    }

    private JournalRecordEncoder() {}

    private static byte[] encode(byte type, String id, Content content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(0); // space for the header
            out.writeByte(type);
            out.writeUTF(id);
            content.writeTo(out);
        } catch (IOException e) {
            throw new IllegalStateException(e); // cannot happen in memory
        }
        byte[] record = bytes.toByteArray();
        int length = record.length - JournalRecordFormat.HEADER_BYTES;
        int checksum = JournalRecordFormat.checksum(record, JournalRecordFormat.HEADER_BYTES, length);
        ByteBuffer.wrap(record).putInt(length).putInt(checksum);
        return record;
    }

    /** Records an accepted message. */
    static byte[] accepted(ActiveRequest.Message message, long deadlineMs, long retainUntilMs) {
        return encode(
                JournalRecordFormat.ACCEPTED,
                message.id(),
                out -> writeMessage(out, message, deadlineMs, retainUntilMs));
    }

    /** Records an accepted duplicate, which waits for the outcome of another message with the same key. */
    static byte[] acceptedDuplicate(ActiveRequest.Message message, long deadlineMs, long retainUntilMs) {
        return encode(JournalRecordFormat.ACCEPTED_DUPLICATE, message.id(), out -> {
            writeMessage(out, message, deadlineMs, retainUntilMs);
            out.writeUTF(message.deduplicationKey());
        });
    }

    private static void writeMessage(
            DataOutputStream out, ActiveRequest.Message message, long deadlineMs, long retainUntilMs)
            throws IOException {
        out.writeByte(message.frontend());
        out.writeInt(message.classIndex());
        out.writeInt(message.tenantIndex());
        out.writeLong(message.destination());
        out.writeLong(deadlineMs);
        out.writeLong(retainUntilMs);
        out.writeBoolean(message.resubmitted());
        out.writeBoolean(message.retriesWithinKeyWindow());
        out.writeUTF(message.idempotencyKey());
        out.writeInt(message.body().length);
        out.write(message.body());
    }

    /** Records the deduplication key of a message; written before the message's own record. */
    static byte[] deduplicationKey(String id, String key) {
        return encode(JournalRecordFormat.DEDUPLICATION_KEY, id, out -> out.writeUTF(key));
    }

    /** Relates the steady clock, which all times in the file are based on, to the monotonic clock of a boot. */
    static byte[] clock(String bootId, long monotonicMs, long steadyMs) {
        return encode(JournalRecordFormat.CLOCK, bootId, out -> {
            out.writeLong(monotonicMs);
            out.writeLong(steadyMs);
        });
    }

    /** Records the ordering key of a message; written before the message's own record. */
    static byte[] orderKey(String id, String key) {
        return encode(JournalRecordFormat.ORDER_KEY, id, out -> out.writeUTF(key));
    }

    /**
     * Records that an attempt is about to be sent.
     *
     * @param zone the name of its endpoint's zone; empty if unknown
     */
    static byte[] attemptBegan(String id, long steadyMs, String zone) {
        return encode(JournalRecordFormat.ATTEMPT_BEGAN, id, out -> {
            out.writeLong(steadyMs);
            writeZones(out, zone);
        });
    }

    /** Records the end of the attempt in flight. */
    static byte[] attemptEnded(String id, boolean mayHaveRun) {
        return encode(JournalRecordFormat.ATTEMPT_ENDED, id, out -> out.writeBoolean(mayHaveRun));
    }

    /** Records the complete state of a message's attempts in one record. */
    static byte[] attemptState(String id, AttemptHistory history) {
        return encode(JournalRecordFormat.ATTEMPT_STATE, id, out -> {
            out.writeInt(history.attempts());
            out.writeLong(history.firstMayHaveRunMs());
            out.writeLong(history.attemptBeganMs());
            writeZones(out, history.firstMayHaveRunZone(), history.attemptZone());
        });
    }

    /** Zones that are not known are left out at the end, as in the records of releases that wrote none. */
    private static void writeZones(DataOutputStream out, String... zones) throws IOException {
        if (Arrays.stream(zones).anyMatch(zone -> !zone.isEmpty())) {
            for (String zone : zones) {
                out.writeUTF(zone);
            }
        }
    }

    /** Records the final outcome of a message. */
    static byte[] completed(String id, JournalEntry entry) {
        return encode(JournalRecordFormat.COMPLETED, id, out -> {
            out.writeByte(entry.frontend);
            out.writeLong(entry.retainUntilMs);
            out.writeByte(entry.outcome.kind().code);
            out.writeLong(entry.outcome.retryAfterNs());
            out.writeBoolean(entry.notificationPending);
        });
    }

    /** Records that the client was notified of the outcome. */
    static byte[] notified(String id) {
        return encode(JournalRecordFormat.NOTIFIED, id, out -> {});
    }

    /** Records the text that the keys of a scheme are computed with, and makes the scheme the current one. */
    static byte[] scheme(String name, byte[] text) {
        return encode(JournalRecordFormat.SCHEME, name, out -> {
            out.writeInt(text.length);
            out.write(text);
        });
    }

    /** Records that an operator has drained an endpoint or ended the drain. */
    static byte[] drain(String endpoint, boolean drained) {
        return encode(JournalRecordFormat.DRAIN, endpoint, out -> out.writeBoolean(drained));
    }
}
