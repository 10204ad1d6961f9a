package elderseam.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Validates the lines of each request head while its bytes are passed to Undertow. Undertow's parser treats a line
 * without a colon as a header and accepts white space before the colon, which RFC 9112, section 5.1, forbids. Bytes
 * after a head are not validated until {@link #beginHead}. A head with too many bytes or fields never reaches Undertow, which
 * would keep an object for each field: further input is discarded, and the owner is told.
 *
 * <p>{@link #isAtEnd} looks whether the client has ended its side; a byte that is read by that look is held back until
 * the next read.
 *
 * <p>On a lingering connection it reads and discards further input ({@link #discardInput}). Undertow's own clean close
 * waits for one byte and then closes the socket with the rest unread, which resets the connection, and the client could
 * lose the response in transit. Confined to the I/O thread.
 */
final class RequestHeadValidator extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Learns how much memory the head that is being read takes. */
    interface Owner {
        /** {@code bytes}: an estimate; 0 while no part of a head has arrived, and once it is complete. */
        void headTakes(int bytes);

        /** The head exceeds its limits: the request must be refused. */
        void headTooLarge();
    }

    private static final int MAX_HEAD_BYTES = 16 << 10;
    private static final int MAX_FIELDS = 64;

    /** What Undertow keeps for each field besides its bytes. */
    private static final int FIELD_OVERHEAD_BYTES = 256;

    /** Once this much input was discarded on a lingering connection, it is closed without waiting for the client. */
    private static final int MAX_DISCARDED_BYTES = 256 << 10;

    private static final int END_OF_STREAM = -1;
    private static final int BYTE_MASK = 0xff;

    /** Shared by all connections, since they are all read on the same I/O thread. */
    private static final ByteBuffer DISCARD_BUFFER = ByteBuffer.allocateDirect(16 << 10);

    private final Owner owner;
    private boolean inHead;
    private boolean inRequestLine;
    private boolean colonSeen; // in the current line
    private boolean malformed;
    private boolean discarding;
    private int lineLength;
    private int headBytes;
    private int headFields;
    private int discardedBytes;

    /** Holds the byte that was read by {@link #isAtEnd}, or none. */
    private final ByteBuffer heldBack = ByteBuffer.allocate(1).limit(0);

    RequestHeadValidator(StreamSourceConduit next, Owner owner) {
        super(next);
        this.owner = owner;
        beginHead();
    }

    /** Whether the client has ended its side and sent nothing before; a connection that fails has ended, too. */
    boolean isAtEnd() {
        if (heldBack.hasRemaining()) {
            return false;
        }
        heldBack.clear();
        try {
            return super.read(heldBack) == END_OF_STREAM;
        } catch (IOException e) {
            return true;
        } finally {
            heldBack.flip();
        }
    }

    /** Expects the next byte to be the first of a request head. */
    void beginHead() {
        inHead = true;
        inRequestLine = true;
        malformed = false;
        lineLength = 0;
        headBytes = 0;
        headFields = 0;
    }

    /** Whether at least one byte of the current request was read. */
    boolean hasBegun() {
        return !inHead || !inRequestLine || lineLength > 0;
    }

    /** Whether the head of the current request is malformed. */
    boolean isMalformed() {
        return malformed;
    }

    /**
     * Discards all further input. From now on, reads return 0 while more input may arrive, and {@link #END_OF_STREAM}
     * once the stream has ended or the maximum number of bytes was discarded.
     */
    void discardInput() {
        discarding = true;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (discarding) {
            return discard();
        }
        int start = target.position();
        int count = heldBack.hasRemaining() && target.hasRemaining() ? takeHeldBack(target) : super.read(target);
        validate(target, start);
        if (isHeadWithinLimits()) {
            return count;
        }
        target.position(start);
        return 0;
    }

    /** Tells the owner of the head that was read so far, and discards further input if it is too large. */
    private boolean isHeadWithinLimits() {
        if (headBytes > MAX_HEAD_BYTES || headFields > MAX_FIELDS) {
            discardInput();
            owner.headTooLarge();
            return false;
        }
        owner.headTakes(inHead ? headBytes + headFields * FIELD_OVERHEAD_BYTES : 0);
        return true;
    }

    private int takeHeldBack(ByteBuffer target) {
        target.put(heldBack.get());
        return 1;
    }

    /** A byte that is held back is input, though the socket may have none. */
    @Override
    public void resumeReads() {
        if (heldBack.hasRemaining()) {
            super.wakeupReads();
        } else {
            super.resumeReads();
        }
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        if (discarding) {
            return discard();
        }
        if (heldBack.hasRemaining() && length > 0 && targets[offset].hasRemaining()) {
            return read(targets[offset]);
        }
        int[] starts = new int[length];
        for (int i = 0; i < length; i++) {
            starts[i] = targets[offset + i].position();
        }
        long count = super.read(targets, offset, length);
        for (int i = 0; i < length; i++) {
            validate(targets[offset + i], starts[i]);
        }
        if (isHeadWithinLimits()) {
            return count;
        }
        for (int i = 0; i < length; i++) {
            targets[offset + i].position(starts[i]);
        }
        return 0;
    }

    private int discard() throws IOException {
        while (discardedBytes < MAX_DISCARDED_BYTES) {
            DISCARD_BUFFER.clear();
            int count = super.read(DISCARD_BUFFER);
            if (count <= 0) {
                return count;
            }
            discardedBytes += count;
        }
        return END_OF_STREAM;
    }

    private void validate(ByteBuffer bytes, int start) {
        for (int i = start; inHead && i < bytes.position(); i++) {
            headBytes++;
            validate((char) (bytes.get(i) & BYTE_MASK));
        }
    }

    private void validate(char character) {
        if (character == '\n') {
            endOfLine();
        } else if (character != '\r') {
            lineLength++;
            malformed |= isForbidden(character);
            colonSeen |= !inRequestLine && character == ':';
        }
    }

    private void endOfLine() {
        if (lineLength == 0) {
            inHead = inRequestLine; // empty lines before a request are skipped
            return;
        }
        malformed |= !inRequestLine && !colonSeen;
        headFields += inRequestLine ? 0 : 1;
        inRequestLine = false;
        colonSeen = false;
        lineLength = 0;
    }

    private boolean isForbidden(char character) {
        boolean control = character < ' ' && character != '\t';
        boolean inHeaderName = !inRequestLine && !colonSeen;
        boolean emptyName = character == ':' && lineLength == 1;
        return control || (inHeaderName && (character <= ' ' || emptyName));
    }
}
