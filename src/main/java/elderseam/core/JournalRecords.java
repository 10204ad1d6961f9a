package elderseam.core;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** The bytes of the journal's records: length and checksum (4 each), then the type, the id and what the type holds. */
final class JournalRecords {
    static final byte TAKEN = 1,
            SENT = 2,
            RESULT = 3,
            ENDED = 4,
            TOLD = 5,
            STATE = 6,
            KEYED = 7,
            JOINED = 8,
            SCHEME = 9,
            DETACHED = 10;
    static final int HEAD = 8, MOST = 256 << 10;

    interface Writing {
        void to(DataOutputStream out) throws IOException;
    }

    private JournalRecords() {}

    static byte[] encode(byte type, String id, Writing content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(0);
            out.writeByte(type);
            out.writeUTF(id);
            content.to(out);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory doesn't fail so
        }
        byte[] record = bytes.toByteArray();
        ByteBuffer.wrap(record).putInt(record.length - HEAD).putInt(checksum(record, HEAD, record.length - HEAD));
        return record;
    }

    static int checksum(byte[] bytes, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    /** Times are of the wall clock, in ms. */
    static byte[] taken(ActiveRequest.Message m, long deadlineMs, long keepMs) {
        return encode(TAKEN, m.id(), out -> message(out, m, deadlineMs, keepMs));
    }

    /** One that waits for another's end: with the key that they have in common. */
    static byte[] joined(ActiveRequest.Message m, long deadlineMs, long keepMs) {
        return encode(JOINED, m.id(), out -> {
            message(out, m, deadlineMs, keepMs);
            out.writeUTF(m.same());
        });
    }

    private static void message(DataOutputStream out, ActiveRequest.Message m, long deadlineMs, long keepMs)
            throws IOException {
        out.writeByte(m.front());
        out.writeInt(m.cls());
        out.writeInt(m.tenant());
        out.writeLong(m.destination());
        out.writeLong(deadlineMs);
        out.writeLong(keepMs);
        out.writeBoolean(m.again());
        out.writeBoolean(m.heedsWindow());
        out.writeUTF(m.key());
        out.writeInt(m.body().length);
        out.write(m.body());
    }

    static byte[] keyed(String id, String same) {
        return encode(KEYED, id, out -> out.writeUTF(same));
    }

    static byte[] scheme(String name, byte[] text) {
        return encode(SCHEME, name, out -> {
            out.writeInt(text.length);
            out.write(text);
        });
    }

    /** Of an endpoint's id: whether it is taken out of use. */
    static byte[] detached(String host, boolean out) {
        return encode(DETACHED, host, to -> to.writeBoolean(out));
    }

    static byte[] ended(String id, byte front, long keepMs, FinalOutcome answer, boolean owed) {
        return encode(ENDED, id, out -> {
            out.writeByte(front);
            out.writeLong(keepMs);
            out.writeByte(answer.kind().ordinal());
            out.writeLong(answer.againNs());
            out.writeBoolean(owed);
        });
    }
}
