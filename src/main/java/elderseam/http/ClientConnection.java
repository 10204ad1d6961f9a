package elderseam.http;

import elderseam.core.Clock;
import io.undertow.util.ConnectionUtils;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * One connection of a client: its state, and until when it may stay in it.
 *
 * <p>It ends by a lingering close (RFC 9112, section 9.6): what is written is flushed, the sending ends, and what still
 * arrives is read and discarded until the client ends its side too, within bounds of time and bytes. A close over
 * unread bytes would reset the connection and lose the response on its way. Nothing that arrives after the end of the
 * sending is handed on: it could not be answered, and the client, which finds no response, retries. Confined to the I/O
 * thread.
 */
final class ClientConnection {
    /** For a request to arrive, from the connecting or, on a kept connection, from its head. */
    private static final long REQUEST_TIMEOUT_NS = 2_400 * Clock.MILLISECOND_NS;

    private static final int LARGE_BODY_BYTES = 64 << 10;
    private static final long LARGE_BODY_EXTRA_NS = 3_000 * Clock.MILLISECOND_NS;

    /** For the client to read the response. */
    private static final long RESPONSE_TIMEOUT_NS = 2_400 * Clock.MILLISECOND_NS;

    private static final long KEEP_ALIVE_NS = 60_000 * Clock.MILLISECOND_NS;

    /** The keep-alive time once half of the allowed connections are open. */
    private static final long CROWDED_KEEP_ALIVE_NS = 2_100 * Clock.MILLISECOND_NS;

    /** A connection without a request is silent after this. */
    private static final long SILENT_AFTER_NS = 1_000 * Clock.MILLISECOND_NS;

    /** For the client to end its side of a lingering connection. */
    private static final long LINGER_TIMEOUT_NS = 1_000 * Clock.MILLISECOND_NS;

    /** How readily a connection is given up for a new one: the first of these first. */
    enum EvictionRank {
        SILENT,
        IDLE_LONG,
        IDLE,
        RECEIVING,
        NEVER
    }

    private enum State {
        RECEIVING,
        PROCESSING,
        RESPONDING,
        IDLE,
        LINGERING
    }

    private final ClientConnections connections;
    private final StreamConnection channel;
    private final Clock clock;
    private final RequestHeadValidator headValidator;
    private State state = State.RECEIVING;
    private long stateSince;
    private long deadline;
    private boolean awaitsFirstRequest = true;
    private int reservedBodyBytes;

    /** A connection that was just accepted. */
    ClientConnection(ClientConnections connections, StreamConnection channel, Clock clock) {
        this.connections = connections;
        this.channel = channel;
        this.clock = clock;
        headValidator = new RequestHeadValidator(channel.getSourceChannel().getConduit());
        channel.getSourceChannel().setConduit(headValidator);
        channel.getSinkChannel()
                .setConduit(new ParseErrorInterceptor(channel.getSinkChannel().getConduit(), this));
        stateSince = clock.now();
        deadline = stateSince + REQUEST_TIMEOUT_NS;
    }

    /**
     * The head of a request has arrived.
     *
     * @param bodyBytes the most that its body may have
     * @return false if there is no memory for that body now
     */
    boolean requestBegins(long bodyBytes) {
        long begunAt = awaitsFirstRequest ? stateSince : clock.now();
        awaitsFirstRequest = false;
        enter(State.RECEIVING, begunAt + REQUEST_TIMEOUT_NS + (bodyBytes > LARGE_BODY_BYTES ? LARGE_BODY_EXTRA_NS : 0));
        connections.requestBegins();
        if (!connections.reserveBody(bodyBytes)) {
            return false;
        }
        reservedBodyBytes = (int) bodyBytes;
        return true;
    }

    /** Whether the head that has arrived is malformed. */
    boolean isHeadMalformed() {
        return headValidator.isMalformed();
    }

    /** The whole request has arrived; whoever answers it has a deadline of its own. */
    void requestReceived() {
        releaseBody();
        enter(State.PROCESSING, Long.MAX_VALUE);
    }

    /** The response is about to be written. */
    void responseBegins() {
        enter(State.RESPONDING, clock.now() + RESPONSE_TIMEOUT_NS);
    }

    /** The response was written, and the connection is kept. */
    void responseWritten() {
        reset();
        headValidator.beginHead();
        enter(State.IDLE, clock.now() + KEEP_ALIVE_NS);
    }

    /** The last response was written, and the sending ends now: what arrives is discarded. */
    void beginLingering() {
        if (state != State.LINGERING) {
            reset();
            headValidator.discardInput();
            connections.lingeringBegins();
            enter(State.LINGERING, clock.now() + LINGER_TIMEOUT_NS);
        }
    }

    /** The connection was closed: it counts no more. */
    void closed() {
        reset();
    }

    /** Whether it carries no request whose head has arrived. */
    boolean hasNoRequest() {
        return state == State.IDLE || (state == State.RECEIVING && awaitsFirstRequest);
    }

    /** Whether nothing of a request has arrived since the last response, or since the connecting. */
    boolean isInactive() {
        return hasNoRequest() && !headValidator.hasBegun();
    }

    /** Whether no whole head of a request has arrived since the connecting. */
    boolean awaitsFirstRequest() {
        return awaitsFirstRequest;
    }

    /** Whether it has been in its state for so long without a request that none seems to be on its way. */
    boolean isSilent(long now) {
        return now - stateSince > SILENT_AFTER_NS;
    }

    /** Whether a part of a request's head, or more, has arrived. */
    boolean hasRequestBegun() {
        return headValidator.hasBegun();
    }

    /** Whether its lingering close has begun. */
    boolean isLingering() {
        return state == State.LINGERING;
    }

    /**
     * Whether it must not stay in its state any longer. With half a head on a kept connection, Undertow bounds the
     * time.
     */
    boolean isOverdue(long now, boolean crowded) {
        if (state != State.IDLE) {
            return now >= deadline;
        }
        boolean kept = now < deadline && !(crowded && now - stateSince > CROWDED_KEEP_ALIVE_NS);
        return !kept && !headValidator.hasBegun();
    }

    /** How readily it is given up for a new connection. */
    EvictionRank evictionRank(long now) {
        return switch (state) {
            case IDLE -> idleRank(now);
            case RECEIVING -> isSilent(now) ? EvictionRank.SILENT : EvictionRank.RECEIVING;
            case PROCESSING, RESPONDING, LINGERING -> EvictionRank.NEVER;
        };
    }

    private EvictionRank idleRank(long now) {
        if (headValidator.hasBegun()) {
            return EvictionRank.RECEIVING;
        }
        return now - stateSince > CROWDED_KEEP_ALIVE_NS ? EvictionRank.IDLE_LONG : EvictionRank.IDLE;
    }

    /**
     * Sends a response without a body as the last one, whatever has arrived, even nothing: a new connection must not
     * end without a response.
     */
    void refuse(int statusCode) {
        String retryAfter = statusCode == StatusCodes.SERVICE_UNAVAILABLE ? "Retry-After: 1\r\n" : "";
        String response = "HTTP/1.1 " + statusCode + " " + StatusCodes.getReason(statusCode) + "\r\n" + retryAfter
                + "Connection: close\r\nContent-Length: 0\r\n\r\n";
        beginLingering();
        try {
            // nothing was written for this request yet, so that the socket takes it whole
            channel.getSinkChannel().write(ByteBuffer.wrap(response.getBytes(StandardCharsets.US_ASCII)));
        } catch (IOException e) {
            close(); // the client is gone
            return;
        }
        channel.getSourceChannel().setConduit(headValidator); // in place of one that reads a body, within its bounds
        ConnectionUtils.cleanClose(channel);
    }

    /** Begins the lingering close: it is Undertow's, with a source that discards what arrives. */
    void closeGracefully() {
        beginLingering();
        ConnectionUtils.cleanClose(channel);
    }

    /** Closes it at the end of a sweep: in order, unless the client takes no response or doesn't end its side. */
    void closeOverdue() {
        if (state == State.IDLE || state == State.RECEIVING) {
            closeGracefully();
        } else {
            close();
        }
    }

    /** Closes it at once. */
    void close() {
        IoUtils.safeClose(channel);
        connections.closed(channel); // in case no close listener was called
    }

    private void enter(State next, long nextDeadline) {
        state = next;
        stateSince = clock.now();
        deadline = nextDeadline;
    }

    private void releaseBody() {
        connections.releaseBody(reservedBodyBytes);
        reservedBodyBytes = 0;
    }

    private void reset() {
        releaseBody();
        if (state == State.LINGERING) {
            connections.lingeringEnds();
        } else if (!hasNoRequest()) {
            connections.requestEnds();
        }
        state = State.IDLE;
    }
}
