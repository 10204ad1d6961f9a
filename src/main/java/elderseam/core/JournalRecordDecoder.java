package elderseam.core;

import static elderseam.logging.LogField.field;

import elderseam.logging.EventLogger;
import java.io.DataInputStream;
import java.io.IOException;

/** Decodes the journal's records, as {@link JournalRecordEncoder} writes them. Has no state of its own. */
final class JournalRecordDecoder {
    private static final EventLogger LOG = EventLogger.of(JournalRecordDecoder.class);

    private final Clock clock;
    private final JournalRecordHandler handler;

    /**
     * Creates a decoder.
     *
     * @param clock converts recorded times to this process's clock
     * @param handler receives the decoded records
     */
    JournalRecordDecoder(Clock clock, JournalRecordHandler handler) {
        this.clock = clock;
        this.handler = handler;
    }

    /** Decodes the content of one record and passes it to the handler. An unknown type is logged and skipped. */
    void decode(DataInputStream in, int contentBytes) throws IOException {
        int recordBytes = JournalRecordFormat.HEADER_BYTES + contentBytes;
        byte type = in.readByte();
        String id = in.readUTF();
        switch (type) {
            case JournalRecordFormat.ACCEPTED -> handler.accepted(readMessage(in, id, false), recordBytes);
            case JournalRecordFormat.ACCEPTED_DUPLICATE ->
                handler.acceptedDuplicate(readMessage(in, id, true), recordBytes);
            case JournalRecordFormat.DEDUPLICATION_KEY -> handler.deduplicationKey(id, in.readUTF());
            case JournalRecordFormat.CLOCK -> handler.clock(id, in.readLong(), in.readLong());
            case JournalRecordFormat.ORDER_KEY -> handler.orderKey(id, in.readUTF());
            case JournalRecordFormat.ATTEMPT_BEGAN -> handler.attemptBegan(id, in.readLong(), readZone(in));
            case JournalRecordFormat.ATTEMPT_ENDED -> handler.attemptEnded(id, in.readBoolean());
            case JournalRecordFormat.ATTEMPT_STATE ->
                handler.attemptState(
                        id, new AttemptHistory(in.readInt(), in.readLong(), in.readLong(), readZone(in), readZone(in)));
            case JournalRecordFormat.COMPLETED -> handler.completed(id, readCompleted(in));
            case JournalRecordFormat.NOTIFIED -> handler.notified(id);
            case JournalRecordFormat.SCHEME -> handler.scheme(id, readBytes(in), recordBytes);
            case JournalRecordFormat.DRAIN -> handler.drain(id, in.readBoolean(), recordBytes);
            default -> LOG.warn("journal.record_unknown", field("type", type));
        }
    }

    /**
     * Reads a message. The record of a duplicate contains its deduplication key; the deduplication key of any other
     * message, and every ordering key, is in an earlier record.
     */
    private ActiveRequest.Message readMessage(DataInputStream in, String id, boolean duplicate) throws IOException {
        byte frontend = in.readByte();
        int classIndex = in.readInt();
        int tenantIndex = in.readInt();
        long destination = in.readLong();
        long deadline = clock.fromSteady(in.readLong());
        long rememberUntil = clock.fromSteady(in.readLong());
        boolean resubmitted = in.readBoolean();
        boolean retriesWithinKeyWindow = in.readBoolean();
        String idempotencyKey = in.readUTF();
        byte[] body = readBytes(in);
        String deduplicationKey = duplicate ? in.readUTF() : handler.keyOf(id);
        return new ActiveRequest.Message(
                id,
                frontend,
                classIndex,
                tenantIndex,
                destination,
                deadline,
                rememberUntil,
                resubmitted,
                retriesWithinKeyWindow,
                idempotencyKey,
                body,
                deduplicationKey,
                handler.orderKeyOf(id));
    }

    private static JournalEntry readCompleted(DataInputStream in) throws IOException {
        byte frontend = in.readByte();
        long retainUntilMs = in.readLong();
        FinalOutcome.Kind kind = FinalOutcome.Kind.ofCode(in.readByte());
        FinalOutcome outcome = new FinalOutcome(kind, in.readLong());
        boolean notificationPending = in.readBoolean();
        return JournalEntry.completed(frontend, retainUntilMs, outcome, notificationPending);
    }

    /** The name of a zone; empty in a record of a release that did not write it. */
    private static String readZone(DataInputStream in) throws IOException {
        return in.available() > 0 ? in.readUTF() : "";
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return bytes;
    }
}
