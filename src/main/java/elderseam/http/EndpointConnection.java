package elderseam.http;

import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * One open connection of an {@link EndpointConnectionPool}. It carries an exchange, or is idle, or is half-closed: its
 * exchange was cancelled and a late response may still arrive. Confined to the I/O thread.
 */
final class EndpointConnection {
    /** The count that XNIO's channels return at the end of a stream. */
    static final int END_OF_STREAM = -1;

    final StreamConnection channel;

    /** When it became idle or half-closed, by {@link elderseam.core.Clock#now}. */
    long stateSinceNs;

    private final EndpointConnectionPool pool;
    private EndpointExchange exchange; // the one in progress, or null
    private EndpointExchange cancelledExchange; // the one that awaits a late response, or null
    private boolean closed;

    /** Reads from now on for an exchange. */
    EndpointConnection(EndpointConnectionPool pool, StreamConnection channel, EndpointExchange exchange) {
        this.pool = pool;
        this.channel = channel;
        this.exchange = exchange;
        channel.getSourceChannel().setReadListener(source -> readAvailable());
        channel.getSourceChannel().resumeReads();
    }

    /** Carries an exchange from now on. */
    void attach(EndpointExchange next) {
        exchange = next;
    }

    /** Carries no exchange from now on. */
    void detach() {
        exchange = null;
    }

    /** Where the request is written. */
    ConduitStreamSinkChannel sink() {
        return channel.getSinkChannel();
    }

    /** Closes it at once; a second call does nothing. */
    void close() {
        if (!closed) {
            closed = true;
            pool.connectionClosed(this);
            IoUtils.safeClose(channel);
        }
    }

    /**
     * Ends the sending, which tells the endpoint that the exchange was cancelled as a close would, but goes on reading
     * for its late response.
     *
     * @return false if the connection is broken
     */
    boolean halfClose(EndpointExchange cancelled) {
        try {
            channel.getSinkChannel().shutdownWrites();
            channel.getSinkChannel().flush();
        } catch (IOException e) {
            return false;
        }
        cancelledExchange = cancelled;
        pool.addHalfClosed(this);
        return true;
    }

    /** Closes it after the late response of a cancelled exchange. */
    void closeHalfClosed() {
        cancelledExchange = null;
        close();
    }

    /**
     * Whether nothing arrived unrequested: neither the end of the stream nor what would look like the next
     * response.
     */
    boolean isSilent() {
        return read() == 0;
    }

    /** Reads what has arrived and passes it to whoever waits for it. */
    void readAvailable() {
        for (int count = read(); count != 0 && !closed; count = read()) {
            if (cancelledExchange != null) {
                cancelledExchange.receiveLate(count, this);
            } else if (exchange == null) {
                pool.removeIdle(this);
                close(); // nothing was requested
            } else if (exchange.receive(count)) {
                return;
            }
        }
    }

    /** Reads into the pool's buffer: the number of bytes, 0 if none are there, or {@link #END_OF_STREAM}. */
    private int read() {
        if (closed) {
            return END_OF_STREAM;
        }
        pool.readBuffer.clear();
        try {
            return channel.getSourceChannel().read(pool.readBuffer);
        } catch (IOException e) {
            return END_OF_STREAM;
        } finally {
            pool.readBuffer.flip();
        }
    }
}
