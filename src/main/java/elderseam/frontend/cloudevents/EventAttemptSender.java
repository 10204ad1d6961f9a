package elderseam.frontend.cloudevents;

import elderseam.core.ActiveRequest;
import elderseam.core.AttemptListener;
import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.AttemptSender;
import elderseam.core.ConnectionReuse;
import elderseam.core.EndpointCall;
import elderseam.core.RetryAfterListener;
import elderseam.http.AttemptExchange;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequest;
import elderseam.http.HttpResult;
import java.util.function.Function;

/**
 * Delivers events to endpoints in binary mode, each on a new connection: the client gets the outcome at once, so that it can't
 * be corrected. Confined to the I/O thread.
 */
public final class EventAttemptSender implements AttemptSender {
    private final EndpointConnectionPool connections;
    private final Function<String, EndpointAddress> addressOf;
    private final EventRetryAfter retryAfter;

    /**
     * @param addressOf the address of an endpoint, by its id
     * @param retryAfter receives the waits that endpoints ask for
     */
    public EventAttemptSender(
            EndpointConnectionPool connections,
            Function<String, EndpointAddress> addressOf,
            RetryAfterListener retryAfter) {
        this.retryAfter = new EventRetryAfter(retryAfter);
        this.connections = connections;
        this.addressOf = addressOf;
    }

    @Override
    public EndpointCall send(
            ActiveRequest.Message message, String endpoint, long connectBy, long answerBy, AttemptListener listener) {
        EventCodec.BinaryEvent event = EventCodec.decode(message.body());
        return connections.send(
                addressOf.apply(endpoint),
                new HttpRequest("POST", "/events", event.headers(), event.payload()),
                connectBy,
                answerBy,
                new AttemptExchange(listener, ConnectionReuse.NEW, retryAfter, EventAttemptSender::classify))::cancel;
    }

    @Override
    public void closeIdle(String endpoint) {
        connections.closeIdle(addressOf.apply(endpoint));
    }

    /**
     * The outcome of an attempt by its HTTP result. A status of 2xx, even of a response that broke off, is a delivery;
     * 429 and 503 are an overloaded endpoint, perhaps with a Retry-After, that has not run the event. After all else it
     * may have run.
     */
    static AttemptOutcome classify(HttpResult result) {
        if (result.code() / 100 == 2) {
            return new AttemptOutcome(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0);
        }
        if (!result.answered()) {
            return AttemptOutcome.unanswered(result.progress(), result.failure());
        }
        if (EventRetryAfter.isRejection(result.code())) {
            long retryAfterNs = EventRetryAfter.nanoseconds(result.headers());
            return new AttemptOutcome(result.progress(), Status.OVERLOADED, retryAfterNs, 0, 0);
        }
        return new AttemptOutcome(result.progress(), Status.ERROR, 0, 0, 0);
    }
}
