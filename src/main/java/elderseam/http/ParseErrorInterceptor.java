package elderseam.http;

import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/**
 * Replaces Undertow's own response to a head that it can't parse, behind which it closes at once, over what is unread.
 * That response is the only thing that is written while a connection carries no request. The connection is refused
 * instead, and Undertow is left waiting until the lingering close is over. Confined to the I/O thread.
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
