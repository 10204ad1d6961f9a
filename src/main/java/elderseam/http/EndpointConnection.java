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
 * half-closed after its exchange was cancelled or timed out, while a late response may still arrive, and after input that
 * is not believed, while a further response may arrive that asks for a wait. Confined to the I/O thread.
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
    private final ArrayDeque<UnsettledResponses.Entry> unsettled = new ArrayDeque<>(0); // the latest last
    private int answeredExchanges;
    private long lastWrittenNs;
    private boolean onlySuccesses = true;
    private boolean closed;
    private boolean halfClosed;
    private boolean ended; // the endpoint has closed it
    private ResponseHeadListener headListener; // of the latest exchange
    private LenientHeadReader strayHeads; // null until input is not believed

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
        this.headListener = exchange.responseHeads();
        channel.getSourceChannel().setReadListener(source -> readAvailable());
        channel.getSourceChannel().resumeReads();
    }

    /** Sets the exchange that the connection carries. */
    void attach(EndpointExchange next) {
        exchange = next;
        headListener = next.responseHeads();
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

    /**
     * An exchange ended successfully by a response that may belong to another one; further input can refute it.
     *
     * @param settledAt when the exchange would have timed out
     */
    void addUnsettled(ExchangeListener answered, long settledAt, long now) {
        unsettled.removeIf(earlier -> earlier.isSettled(now));
        if (unsettled.size() >= MAX_UNSETTLED) {
            pool.unsettledResponses().settle(unsettled.removeFirst());
        }
        unsettled.add(pool.addUnsettled(answered, settledAt));
    }

    /** Returns the channel to which the request is written. */
    ConduitStreamSinkChannel sink() {
        return channel.getSinkChannel();
    }

    /** The head of a response, or a part of it, has been read. */
    void reportHead(ResponseHead head) {
        headListener.headReceived(endpoint, head);
    }

    /** Reads the rest of a malformed response in the pool's buffer, and what follows it, for the heads of responses. */
    void readStray(HttpResponseReader malformed) {
        strayHeads = new LenientHeadReader(this::reportHead);
        if (!malformed.isHeadComplete()) {
            malformed.continueLeniently(strayHeads);
        }
        strayHeads.read(pool.readBuffer);
    }

    /** Whether input has arrived that is not believed. */
    boolean hasStrayInput() {
        return strayHeads != null;
    }

    private void readStray() {
        if (strayHeads == null) {
            strayHeads = new LenientHeadReader(this::reportHead);
        }
        strayHeads.read(pool.readBuffer.duplicate());
    }

    /**
     * Ends the use of the connection after input that is not believed, or that may belong to another request: shuts down
     * the sending side and reads on for a while, since a response that asks for a wait may be on its way.
     */
    void closeInDoubt() {
        boolean pointless = ended || headListener == ResponseHeadListener.NONE;
        if (closed || pointless || !halfClose(null)) {
            close();
        }
    }

    /** Closes the connection at once. A second call does nothing. */
    void close() {
        if (!closed) {
            closed = true;
            if (strayHeads != null) {
                strayHeads.end();
            } else if (cancelledExchange != null) {
                cancelledExchange.lateResponseEnded();
            }
            pool.connectionClosed(this);
            unsettled.forEach(pool.unsettledResponses()::settle);
            unsettled.clear();
            IoUtils.safeClose(channel);
        }
    }

    /**
     * Shuts down the sending side and keeps reading, for a late response. The endpoint sees the end of the stream, as
     * with a full close, and can detect that the exchange was cancelled.
     *
     * @param cancelled the exchange whose late response may arrive; null if input is read for heads alone
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
        halfClosed = true;
        pool.addHalfClosed(this);
        return true;
    }

    /** The late response of the cancelled exchange was read: what follows is read for heads alone. */
    void lateResponseRead() {
        cancelledExchange = null;
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
        readStray();
        boolean success = startsWithSuccess(pool.readBuffer);
        if (!success) {
            long now = pool.io.clock.now();
            List<UnsettledResponses.Entry> refuted = unsettled.stream()
                    .filter(response -> !response.isSettled(now))
                    .toList();
            unsettled.clear();
            refuted.forEach(response -> pool.io.run(() -> refute(response)));
        }
        return success;
    }

    private void refute(UnsettledResponses.Entry response) {
        response.refute();
        pool.unsettledResponses().settle(response);
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
                cancelledExchange.receiveLate(count);
            } else if (halfClosed) {
                receiveHalfClosed(count);
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
        closeInDoubt();
    }

    private void receiveHalfClosed(int count) {
        if (count != END_OF_STREAM) {
            readStray();
        }
        if (count == END_OF_STREAM || strayHeads.isExhausted()) {
            close();
        }
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
            int count = channel.getSourceChannel().read(pool.readBuffer);
            ended = count == END_OF_STREAM;
            return count;
        } catch (IOException e) {
            ended = true;
            return END_OF_STREAM;
        } finally {
            pool.readBuffer.flip();
        }
    }
}
