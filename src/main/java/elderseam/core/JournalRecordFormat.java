package elderseam.core;

import java.util.zip.CRC32;

/**
 * The format of the journal's records: length and checksum of the content (4 bytes each), then the content: the type
 * (1 byte), an id, and what the type holds.
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

    /** Bytes before a record's content. */
    static final int HEADER_BYTES = 8;

    /** The longest content, in bytes. */
    static final int MAX_CONTENT_BYTES = 256 << 10;

    private JournalRecordFormat() {}

    /** The checksum of so many bytes. */
    static int checksum(byte[] bytes, int offset, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }
}
