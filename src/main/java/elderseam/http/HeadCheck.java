package elderseam.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Looks over the heads that pass, line by line: Undertow's parser takes "a line with no colon" for a header named "a",
 * and a name with a blank behind it for that name. What follows a head passes unseen until the next one is told.
 */
final class HeadCheck extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private boolean inHead, firstLine, named, bad;
    private int length;

    HeadCheck(StreamSourceConduit next) {
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

    @Override
    public int read(ByteBuffer to) throws IOException {
        int from = to.position();
        int n = super.read(to);
        look(to, from);
        return n;
    }

    @Override
    public long read(ByteBuffer[] to, int offset, int count) throws IOException {
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
                inHead = firstLine;   // empty lines before a request are passed over
                return;
            }
            bad |= !firstLine && !named;
            firstLine = false;
            named = false;
            length = 0;
        } else if (c != '\r') {
            length++;
            bad |= c < ' ' && c != '\t' || !firstLine && !named && (c <= ' ' || c == ':' && length == 1);
            named |= !firstLine && c == ':';
        }
    }
}
