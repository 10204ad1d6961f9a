package elderseam.frontend.cloudevents;

import elderseam.core.ActiveRequest;
import elderseam.core.AttemptListener;
import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.AttemptSender;
import elderseam.core.Clock;
import elderseam.core.EndpointCall;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequest;
import elderseam.http.HttpResult;
import java.util.function.Function;

/** Delivers events in binary mode to the upstream hosts of their destination. */
public final class EventAttemptSender implements AttemptSender {
    private final EndpointConnectionPool connections;
    private final Function<String, EndpointAddress> hosts;

    /** {@code hosts}: by their ids. */
    public EventAttemptSender(EndpointConnectionPool connections, Function<String, EndpointAddress> hosts) {
        this.connections = connections;
        this.hosts = hosts;
    }

    @Override
    public EndpointCall send(
            ActiveRequest.Message m, String host, long connectBy, long answerBy, AttemptListener attempt) {
        EventCodec.Outgoing o = EventCodec.outgoing(m.body());
        return connections.send(
                hosts.apply(host),
                new HttpRequest("POST", "/events", o.headers(), o.payload()),
                connectBy,
                answerBy,
                attempt::maySend,
                attempt::written,
                r -> attempt.answeredLate(meaning(r)),
                r -> attempt.ended(meaning(r)))::cancel;
    }

    @Override
    public void closeIdle(String host) {
        connections.closeIdle(hosts.apply(host));
    }

    /** 2xx, be it the first line of a spoilt answer: taken. 429 and 503: turned away unseen, perhaps with a wait. All
     *  else may have taken effect. */
    static AttemptOutcome meaning(HttpResult r) {
        if (r.code() / 100 == 2) {
            return new AttemptOutcome(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0);
        }
        if (!r.answered()) {
            return AttemptOutcome.unanswered(r.progress(), r.failure());
        }
        boolean full = r.code() == 429 || r.code() == 503;
        String wait = r.header("Retry-After");
        double seconds = full && wait.matches("\\d{1,6}(\\.\\d{1,9})?") ? Double.parseDouble(wait) : 0;
        return new AttemptOutcome(
                r.progress(), full ? Status.OVERLOADED : Status.ERROR, (long) (seconds * 1_000 * Clock.MS), 0, 0);
    }
}
