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
 * One client connection, with its state and the time limit of that state.
 *
 * <p>The connection ends with a lingering close (RFC 9112, section 9.6): pending output is flushed, the sending side is
 * shut down, and further input is read and discarded until the client closes its side too, or until a limit of time or
 * bytes is reached. Closing the socket with unread input would reset the connection, and the client could lose the
 * response in transit. Input that arrives after the sending side was shut down is never processed: it could not be
 * answered, and a client that receives no response retries. Confined to the I/O thread.
 */
final class ClientConnection implements RequestHeadValidator.Owner {
    /**
     * Time limit for receiving a request. It starts when the connection is accepted or, on a persistent connection,
     * when the head of the request has arrived.
     */
    private static final long REQUEST_TIMEOUT_NS = 2_400 * Clock.MILLISECOND_NS;

    /** A body that is read even where bodies that have stalled take all memory for bodies: it is small, as most are. */
    private static final int SMALL_BODY_BYTES = 2 << 10;

    private static final int LARGE_BODY_BYTES = 64 << 10;
    private static final long LARGE_BODY_EXTRA_NS = 3_000 * Clock.MILLISECOND_NS;

    /** Time limit for writing the response, which depends on how fast the client reads. */
    private static final long RESPONSE_TIMEOUT_NS = 2_400 * Clock.MILLISECOND_NS;

    private static final long KEEP_ALIVE_NS = 60_000 * Clock.MILLISECOND_NS;

    /** Keep-alive time while more than half of the allowed connections are open. */
    private static final long CROWDED_KEEP_ALIVE_NS = 2_100 * Clock.MILLISECOND_NS;

    /** A connection that has received no request for this long counts as silent. */
    private static final long SILENT_AFTER_NS = 1_000 * Clock.MILLISECOND_NS;

    /** Time limit for the client to close its side during a lingering close. */
    private static final long LINGER_TIMEOUT_NS = 1_000 * Clock.MILLISECOND_NS;

    /** The order in which connections are evicted in favor of a new one, from first to last. */
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
    private int headBytes; // of an incomplete head, by the estimate of the validator
    private long headSince;
    private PendingAnswer pendingAnswer; // null unless PROCESSING

    /** Creates the state of a connection that was just accepted. */
    ClientConnection(ClientConnections connections, StreamConnection channel, Clock clock) {
        this.connections = connections;
        this.channel = channel;
        this.clock = clock;
        headValidator = new RequestHeadValidator(channel.getSourceChannel().getConduit(), this);
        channel.getSourceChannel().setConduit(headValidator);
        channel.getSinkChannel()
                .setConduit(new ParseErrorInterceptor(channel.getSinkChannel().getConduit(), this));
        stateSince = clock.now();
        deadline = stateSince + REQUEST_TIMEOUT_NS;
    }

    /**
     * Called when the head of a request has arrived.
     *
     * @param bodyBytes the maximum length of its body
     * @param arrived whether all of the body has arrived with the head
     * @return false if the memory for that body cannot be reserved now
     */
    boolean requestStarted(long bodyBytes, boolean arrived) {
        long startedAt = awaitsFirstRequest ? stateSince : clock.now();
        awaitsFirstRequest = false;
        enter(
                State.RECEIVING,
                startedAt + REQUEST_TIMEOUT_NS + (bodyBytes > LARGE_BODY_BYTES ? LARGE_BODY_EXTRA_NS : 0));
        connections.requestStarted();
        if (arrived || bodyBytes <= SMALL_BODY_BYTES) {
            return true;
        }
        if (!connections.reserveBody(bodyBytes)) {
            return false;
        }
        reservedBodyBytes = (int) bodyBytes;
        return true;
    }

    @Override
    public void headTakes(int bytes) {
        if (headBytes == 0) {
            headSince = clock.now();
        }
        int change = bytes - headBytes;
        headBytes = bytes;
        connections.headsGrew(change);
    }

    @Override
    public void headTooLarge() {
        headTakes(0);
        connections.refuseSoon(this, StatusCodes.BAD_REQUEST);
    }

    /** Whether a part of a request head has arrived, and not all of it. */
    boolean hasPartialHead() {
        return headBytes > 0 && state != State.LINGERING;
    }

    /** When the first part of the incomplete head arrived. */
    long headSince() {
        return headSince;
    }

    /** Whether the head of the current request is malformed. */
    boolean isHeadMalformed() {
        return headValidator.isMalformed();
    }

    /** Called when the whole request has arrived. There is no time limit here: the handler has its own deadline. */
    void requestReceived() {
        releaseBody();
        enter(State.PROCESSING, Long.MAX_VALUE);
    }

    /** Called before the handler gets the request that will be answered by {@code answer}. */
    void processingStarts(PendingAnswer answer) {
        pendingAnswer = answer;
    }

    /** Whether the client has ended its side while its request is processed. Reads from the socket. */
    boolean isAbandoned() {
        return state == State.PROCESSING && pendingAnswer != null && headValidator.isAtEnd();
    }

    /**
     * Answers the request of a client that has ended its side, as the server turns away what it has not read, and ends
     * the connection.
     */
    void endAbandoned() {
        pendingAnswer.end(connections.unreadStatus());
    }

    /** Called before the response is written. */
    void responseStarting() {
        pendingAnswer = null;
        enter(State.RESPONDING, clock.now() + RESPONSE_TIMEOUT_NS);
    }

    /** Called when the response was written and the connection stays open for another request. */
    void responseWritten() {
        reset();
        headValidator.beginHead();
        enter(State.IDLE, clock.now() + KEEP_ALIVE_NS);
    }

    /** Called when the last response was written and the sending side is shut down: further input is discarded. */
    void beginLingering() {
        if (state != State.LINGERING) {
            reset();
            headValidator.discardInput();
            connections.lingeringStarted();
            enter(State.LINGERING, clock.now() + LINGER_TIMEOUT_NS);
        }
    }

    /** Called when the connection was closed: removes it from all counters. */
    void closed() {
        reset();
    }

    /** Whether there is no unanswered request whose head has arrived. */
    boolean hasNoRequest() {
        return state == State.IDLE || (state == State.RECEIVING && awaitsFirstRequest);
    }

    /** Whether no byte of a request has arrived since the last response or, without one, since it was accepted. */
    boolean isInactive() {
        return hasNoRequest() && !headValidator.hasBegun();
    }

    /** Whether no complete request head has arrived since the connection was accepted. */
    boolean awaitsFirstRequest() {
        return awaitsFirstRequest;
    }

    /** Whether the connection has been in its state for so long, stalls apart, that no request is expected soon. */
    boolean isSilent(long now) {
        return now - Math.max(stateSince, connections.lastStallEnd()) > SILENT_AFTER_NS;
    }

    /** Whether at least one byte of a request has arrived. */
    boolean hasRequestBegun() {
        return headValidator.hasBegun();
    }

    /** Whether the lingering close has begun. */
    boolean isLingering() {
        return state == State.LINGERING;
    }

    /**
     * Whether the time limit of the state has passed. Once a part of a request head has arrived on a persistent
     * connection, Undertow's parse timeout applies instead.
     */
    boolean isOverdue(long now, boolean crowded) {
        if (state != State.IDLE) {
            return now >= deadline;
        }
        boolean withinLimit = now < deadline && !(crowded && now - stateSince > CROWDED_KEEP_ALIVE_NS);
        return !withinLimit && !headValidator.hasBegun();
    }

    /** Returns the connection's place in the eviction order. */
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
     * Sends a final response without a body and starts the lingering close. This is allowed in any state, even before
     * any input has arrived: a new connection must not end without a response.
     */
    void refuse(int statusCode) {
        String retryAfter = statusCode == connections.unreadStatus() ? "Retry-After: 1\r\n" : "";
        String response = "HTTP/1.1 " + statusCode + " " + StatusCodes.getReason(statusCode) + "\r\n" + retryAfter
                + "Connection: close\r\nContent-Length: 0\r\n\r\n";
        beginLingering();
        try {
            // nothing was written for this request yet, so the socket buffer has space for all of it
            channel.getSinkChannel().write(ByteBuffer.wrap(response.getBytes(StandardCharsets.US_ASCII)));
        } catch (IOException e) {
            close(); // the client has disconnected
            return;
        }
        // replaces a conduit that reads a request body up to its length limit
        channel.getSourceChannel().setConduit(headValidator);
        ConnectionUtils.cleanClose(channel);
    }

    /** Begins the lingering close: Undertow's clean close, reading from a source that discards its input. */
    void closeGracefully() {
        beginLingering();
        ConnectionUtils.cleanClose(channel);
    }

    /**
     * Closes a connection whose time limit has passed: gracefully if no complete request has arrived; otherwise at
     * once, since the client does not read the response or does not close its side.
     */
    void closeOverdue() {
        if (state == State.IDLE || state == State.RECEIVING) {
            closeGracefully();
        } else {
            close();
        }
    }

    /** Closes the connection at once. */
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
        headTakes(0);
        PendingAnswer abandoned = pendingAnswer;
        pendingAnswer = null;
        if (abandoned != null) {
            abandoned.abandon();
        }
        if (state == State.LINGERING) {
            connections.lingeringEnded();
        } else if (!hasNoRequest()) {
            connections.requestEnded();
        }
        state = State.IDLE;
    }
}
