package elderseam.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * One open connection of an {@link EndpointConnectionPool}. It carries an exchange, is idle, or is half-closed. It is
 * half-closed after its exchange was cancelled or timed out, while a late response may still arrive. Confined to the
 * I/O thread.
 */
final class EndpointConnection {
    /** The byte count that XNIO's channels return at the end of a stream. */
    static final int END_OF_STREAM = -1;

    private static final int MAX_UNSETTLED = 16;
    private static final byte[] SUCCESS_START = "HTTP/1.1 2".getBytes(StandardCharsets.US_ASCII);

    final StreamConnection channel;

    /** The endpoint on the other side. */
    final EndpointAddress endpoint;

    /** Identifies the connection in the log. */
    final long number;

    /** The time of {@link elderseam.core.Clock#now} at which the connection became idle or half-closed. */
    long stateSinceNs;

    private final EndpointConnectionPool pool;
    private EndpointExchange exchange; // the exchange in progress; null if none
    private EndpointExchange cancelledExchange; // the exchange that awaits a late response; null if none
    private final ArrayDeque<EndpointExchange> unsettled = new ArrayDeque<>(0); // the latest last
    private int answeredExchanges;
    private long lastWrittenNs;
    private boolean onlySuccesses = true;
    private boolean closed;

    /** Creates a connection that carries the given exchange, and starts to read from the channel. */
    EndpointConnection(
            EndpointConnectionPool pool,
            EndpointAddress endpoint,
            StreamConnection channel,
            EndpointExchange exchange) {
        this.pool = pool;
        this.endpoint = endpoint;
        this.number = pool.nextConnectionNumber();
        this.channel = channel;
        this.exchange = exchange;
        channel.getSourceChannel().setReadListener(source -> readAvailable());
        channel.getSourceChannel().resumeReads();
    }

    /** Sets the exchange that the connection carries. */
    void attach(EndpointExchange next) {
        exchange = next;
    }

    /** Removes the exchange that the connection carries. */
    void detach() {
        exchange = null;
    }

    /** How many exchanges got a complete response on this connection. */
    int answeredExchanges() {
        return answeredExchanges;
    }

    /** Counts an exchange that got a complete response. */
    void exchangeAnswered(boolean success) {
        answeredExchanges++;
        onlySuccesses &= success;
    }

    /** Whether all responses so far were successful. */
    boolean hasOnlySuccesses() {
        return onlySuccesses;
    }

    /** The last byte of a request was written. */
    void requestWritten(long now) {
        lastWrittenNs = now;
    }

    /** When the last byte of the latest request was written. */
    long lastWrittenNs() {
        return lastWrittenNs;
    }

    /** An exchange ended successfully by a response that may belong to another one; further input can refute it. */
    void addUnsettled(EndpointExchange answered, long now) {
        unsettled.removeIf(earlier -> earlier.answerBy() <= now);
        if (unsettled.size() >= MAX_UNSETTLED) {
            unsettled.removeFirst();
        }
        unsettled.add(answered);
    }

    /** Returns the channel to which the request is written. */
    ConduitStreamSinkChannel sink() {
        return channel.getSinkChannel();
    }

    /** Closes the connection at once. A second call does nothing. */
    void close() {
        if (!closed) {
            closed = true;
            pool.connectionClosed(this);
            IoUtils.safeClose(channel);
        }
    }

    /**
     * Shuts down the sending side and keeps reading, for a late response. The endpoint sees the end of the stream, as
     * with a full close, and can detect that the exchange was cancelled.
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

    /** Closes the connection after the late response of a cancelled exchange. */
    void closeHalfClosed() {
        cancelledExchange = null;
        close();
    }

    /**
     * Whether there is no unexpected input: neither the end of the stream nor bytes that could be mistaken for the
     * next response.
     */
    boolean hasNoUnexpectedInput(UnexpectedInput.Place place) {
        int count = read();
        if (count > 0) {
            unexpectedInput(place);
        }
        return count == 0;
    }

    /**
     * Records the unread bytes in the pool's buffer, which answer no request. Unless they begin another successful
     * response, they refute the unsettled responses: one of the requests was not answered successfully.
     *
     * @return whether they begin another successful response
     */
    boolean unexpectedInput(UnexpectedInput.Place place) {
        pool.unexpectedInput().record(this, place, pool.readBuffer);
        pool.reuseRules().unexpectedInput(endpoint);
        boolean success = startsWithSuccess(pool.readBuffer);
        if (!success) {
            long now = pool.io.clock.now();
            List<EndpointExchange> refuted = unsettled.stream()
                    .filter(exchange -> exchange.answerBy() > now)
                    .toList();
            unsettled.clear();
            refuted.forEach(exchange -> pool.io.run(exchange::refuted));
        }
        return success;
    }

    private static boolean startsWithSuccess(ByteBuffer bytes) {
        if (bytes.remaining() < SUCCESS_START.length) {
            return false;
        }
        byte[] start = new byte[SUCCESS_START.length];
        bytes.get(bytes.position(), start);
        return Arrays.equals(start, SUCCESS_START);
    }

    /** Reads all input that has arrived and passes it to the exchange that expects it. */
    void readAvailable() {
        for (int count = read(); count != 0 && !closed; count = read()) {
            if (cancelledExchange != null) {
                cancelledExchange.receiveLate(count, this);
            } else if (exchange == null) {
                receiveWhileIdle(count);
            } else if (exchange.receive(count)) {
                return;
            }
        }
    }

    private void receiveWhileIdle(int count) {
        if (count > 0) {
            unexpectedInput(UnexpectedInput.Place.IDLE);
        }
        pool.removeIdle(this);
        close();
    }

    /**
     * Reads into the pool's buffer. Returns the number of bytes, 0 if none are available, or {@link #END_OF_STREAM} at
     * the end of the stream or after an error.
     */
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
