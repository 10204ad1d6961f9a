package elderseam.core;

import java.util.zip.CRC32;

/**
 * The format of the journal's records: length and checksum of the content (4 bytes each), then the content: the record
 * type (1 byte), an id, and the fields of the type.
 */
final class JournalRecordFormat {
    static final byte ACCEPTED = 1;
    static final byte ATTEMPT_BEGAN = 2;
    static final byte ATTEMPT_ENDED = 3;
    static final byte COMPLETED = 4;
    static final byte NOTIFIED = 5;
    static final byte ATTEMPT_STATE = 6;
    static final byte DEDUPLICATION_KEY = 7;
    static final byte ACCEPTED_DUPLICATE = 8;
    static final byte SCHEME = 9;
    static final byte DRAIN = 10;
    static final byte ORDER_KEY = 11;
    static final byte CLOCK = 12;

    /** Size of the header that precedes a record's content, in bytes. */
    static final int HEADER_BYTES = 8;

    /** Maximum size of a record's content, in bytes. */
    static final int MAX_CONTENT_BYTES = 256 << 10;

    private JournalRecordFormat() {}

    /** Computes the checksum of {@code length} bytes from {@code offset} on. */
    static int checksum(byte[] bytes, int offset, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }
}
