package elderseam.http;

import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.core.ResponseAnomalyListener;
import elderseam.logging.EventLogger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Counts bytes that answer no request, and logs them, at most ten times per second. Confined to the I/O thread. */
final class UnexpectedInput {
    /** When the bytes were read, in the life of their connection. */
    enum Place {
        /** No request was in progress. */
        IDLE,
        /** A request was about to be written. */
        BEFORE_REQUEST,
        /** With the end of a complete response. */
        AFTER_RESPONSE
    }

    private static final EventLogger LOG = EventLogger.of(UnexpectedInput.class);
    private static final long LOG_INTERVAL_NS = 100 * Clock.MILLISECOND_NS;
    private static final int MAX_LOGGED_BYTES = 40;

    private final LogThrottle throttle;
    private ResponseAnomalyListener listener = ResponseAnomalyListener.NONE;
    private long count;

    UnexpectedInput(Clock clock) {
        throttle = new LogThrottle(clock, LOG_INTERVAL_NS);
    }

    /** Sets the listener that is called for each case. There is one listener; a second call replaces it. */
    void setListener(ResponseAnomalyListener newListener) {
        listener = newListener;
    }

    /** Counts and logs bytes that came on a connection to an endpoint. The position of the buffer does not change. */
    void record(EndpointConnection connection, Place place, ByteBuffer bytes) {
        count++;
        listener.unexpectedInputReceived();
        if (!throttle.tryLog()) {
            return;
        }
        LOG.warn(
                "http.unexpected_input",
                field("count", count),
                field("endpoint", connection.endpoint.id()),
                field("connection", connection.number),
                field("exchanges", connection.answeredExchanges()),
                field("place", place),
                field("bytes", bytes.remaining()),
                field("start", firstLine(bytes)));
    }

    /** The first line of the bytes, shortened to {@link #MAX_LOGGED_BYTES}. */
    private static String firstLine(ByteBuffer bytes) {
        byte[] start = new byte[Math.min(MAX_LOGGED_BYTES, bytes.remaining())];
        bytes.get(bytes.position(), start);
        return new String(start, StandardCharsets.ISO_8859_1)
                .lines()
                .findFirst()
                .orElse("");
    }
}
