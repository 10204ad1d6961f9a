package elderseam.http;

import static elderseam.logging.LogField.field;

import elderseam.core.Clock;
import elderseam.core.ResponseAnomalyListener;
import elderseam.logging.EventLogger;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Counts responses that were read, at least up to their status, and not believed, and logs what they held, at most ten
 * times per second. Confined to the I/O thread.
 */
final class DiscardedResponses {
    /** Why a response is not believed. */
    enum Reason {
        /** It did not arrive completely. */
        INCOMPLETE,
        /** It is not valid HTTP, or too long. */
        MALFORMED,
        /** It may belong to another request. */
        UNCERTAIN
    }

    private static final EventLogger LOG = EventLogger.of(DiscardedResponses.class);
    private static final long LOG_INTERVAL_NS = 100 * Clock.MILLISECOND_NS;
    private static final int MAX_LOGGED_HEADERS = 8;
    private static final int MAX_LOGGED_CHARACTERS = 160;

    private final LogThrottle throttle;
    private ResponseAnomalyListener listener = ResponseAnomalyListener.NONE;
    private long count;

    DiscardedResponses(Clock clock) {
        throttle = new LogThrottle(clock, LOG_INTERVAL_NS);
    }

    /** Sets the listener that is called for each case. There is one listener; a second call replaces it. */
    void setListener(ResponseAnomalyListener newListener) {
        listener = newListener;
    }

    /** Counts and logs a response on a connection to an endpoint, if its status was read. */
    void record(EndpointConnection connection, HttpResponseReader response) {
        if (response.statusCode() == 0) {
            return;
        }
        count++;
        listener.responseDiscarded();
        if (throttle.tryLog()) {
            LOG.warn(
                    "http.response_discarded",
                    field("count", count),
                    field("endpoint", connection.endpoint.id()),
                    field("connection", connection.number),
                    field("exchanges", connection.answeredExchanges()),
                    field("reason", reasonFor(response)),
                    field("code", response.statusCode()),
                    field("headers", shortened(response.headers())));
        }
    }

    private static Reason reasonFor(HttpResponseReader response) {
        if (response.isComplete()) {
            return Reason.UNCERTAIN;
        }
        return response.isMalformed() ? Reason.MALFORMED : Reason.INCOMPLETE;
    }

    private static String shortened(Map<String, String> headers) {
        String text = headers.entrySet().stream()
                .limit(MAX_LOGGED_HEADERS)
                .map(header -> header.getKey() + ": " + header.getValue())
                .collect(Collectors.joining(", "));
        return text.substring(0, Math.min(MAX_LOGGED_CHARACTERS, text.length()));
    }
}
