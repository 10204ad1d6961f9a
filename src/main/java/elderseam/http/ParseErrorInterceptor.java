package elderseam.http;

import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Intercepts Undertow's own response to a request head that it cannot parse, since Undertow then closes the socket at
 * once, even with unread input. That response is recognized by its being the only output on a connection without a
 * request. Instead, the connection is refused with a 400 and a lingering close, and Undertow's write is suspended until
 * the connection is closed. Confined to the I/O thread.
 */
final class ParseErrorInterceptor extends AbstractStreamSinkConduit<StreamSinkConduit> {
    private final ClientConnection connection;
    private boolean intercepted;

    ParseErrorInterceptor(StreamSinkConduit next, ClientConnection connection) {
        super(next);
        this.connection = connection;
    }

    @Override
    public int write(ByteBuffer bytes) throws IOException {
        if (!intercepted && connection.hasNoRequest()) {
            intercepted = true;
            connection.refuse(StatusCodes.BAD_REQUEST);
            return 0;
        }
        return super.write(bytes);
    }

    @Override
    public void resumeWrites() {
        if (!intercepted) {
            super.resumeWrites();
        }
    }
}
