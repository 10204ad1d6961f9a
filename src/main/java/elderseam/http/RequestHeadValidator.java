package elderseam.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Looks over the heads that pass, line by line: Undertow's parser takes "a line with no colon" for a header named "a",
 * and a name with a blank behind it for that name. What follows a head passes unseen until the next one is told.
 *
 * <p>Of a connection that is {@link #drop ending} it reads and drops what still comes: Undertow's own close waits for one byte
 * and then closes over the rest, which resets the connection, and the answer that is on its way goes with it.
 */
final class RequestHeadValidator extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final int MOST_DROPPED =
            256 << 10; // who sends more than that to a half-closed connection is not waited for
    private static final ByteBuffer DROPPED = ByteBuffer.allocateDirect(16 << 10); // of the one I/O thread
    private boolean inHead, firstLine, named, bad, drops;
    private int length, dropped;

    RequestHeadValidator(StreamSourceConduit next) {
        super(next);
        next();
    }

    /** The next byte begins a head. */
    void next() {
        inHead = true;
        firstLine = true;
        bad = false;
        length = 0;
    }

    /** Whether a byte of a head has come. */
    boolean begun() {
        return !inHead || !firstLine || length > 0;
    }

    /** Whether the head that has passed was none. */
    boolean bad() {
        return bad;
    }

    /** From now on nothing is handed on: 0 while more may come, -1 at the end, or once it is too much. */
    void drop() {
        drops = true;
    }

    private int dropping() throws IOException {
        while (dropped < MOST_DROPPED) {
            DROPPED.clear();
            int n = super.read(DROPPED);
            if (n <= 0) {
                return n;
            }
            dropped += n;
        }
        return -1;
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        if (drops) {
            return dropping();
        }
        int from = to.position();
        int n = super.read(to);
        look(to, from);
        return n;
    }

    @Override
    public long read(ByteBuffer[] to, int offset, int count) throws IOException {
        if (drops) {
            return dropping();
        }
        int[] from = new int[count];
        for (int i = 0; i < count; i++) {
            from[i] = to[offset + i].position();
        }
        long n = super.read(to, offset, count);
        for (int i = 0; i < count; i++) {
            look(to[offset + i], from[i]);
        }
        return n;
    }

    private void look(ByteBuffer bytes, int from) {
        for (int i = from; inHead && i < bytes.position(); i++) {
            look((char) (bytes.get(i) & 0xff));
        }
    }

    private void look(char c) {
        if (c == '\n') {
            if (length == 0) {
                inHead = firstLine; // empty lines before a request are passed over
                return;
            }
            bad |= !firstLine && !named;
            firstLine = false;
            named = false;
            length = 0;
        } else if (c != '\r') {
            length++;
            bad |= (c < ' ' && c != '\t') || (!firstLine && !named && (c <= ' ' || (c == ':' && length == 1)));
            named |= !firstLine && c == ':';
        }
    }
}
