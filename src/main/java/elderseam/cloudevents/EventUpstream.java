package elderseam.cloudevents;

import elderseam.core.Attempt;
import elderseam.core.Clock;
import elderseam.core.Stream;
import elderseam.core.Upstream;
import elderseam.core.UpstreamRequest;
import elderseam.core.UpstreamRequest.End;
import elderseam.core.UpstreamRequest.Progress;
import elderseam.core.UpstreamRequest.Status;
import elderseam.http.Call;
import elderseam.http.Connections;
import elderseam.http.Reply;
import elderseam.http.UpstreamHost;
import java.util.function.Function;

/** Delivers events in binary mode to the upstream hosts of their destination. */
public final class EventUpstream implements Upstream {
    private final Connections connections;
    private final Function<String, UpstreamHost> hosts;

    /** {@code hosts}: by their ids. */
    public EventUpstream(Connections connections, Function<String, UpstreamHost> hosts) {
        this.connections = connections;
        this.hosts = hosts;
    }

    @Override
    public UpstreamRequest send(Stream.Message m, String host, long connectBy, long answerBy, Attempt attempt) {
        EventCodec.Outgoing o = EventCodec.outgoing(m.body());
        return connections.send(
                hosts.apply(host),
                new Call("POST", "/events", o.headers(), o.payload()),
                connectBy,
                answerBy,
                attempt::mayLeave,
                attempt::written,
                r -> attempt.answeredLate(meaning(r)),
                r -> attempt.ended(meaning(r)))::abandon;
    }

    @Override
    public void closeIdle(String host) {
        connections.closeIdle(hosts.apply(host));
    }

    /** 2xx, be it the first line of a spoilt answer: taken. 429 and 503: turned away unseen, perhaps with a wait. All
     *  else may have taken effect. */
    static End meaning(Reply r) {
        if (r.code() / 100 == 2) {
            return new End(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0);
        }
        if (!r.answered()) {
            return End.unanswered(r.progress(), r.failure());
        }
        boolean full = r.code() == 429 || r.code() == 503;
        String wait = r.header("Retry-After");
        double seconds = full && wait.matches("\\d{1,6}(\\.\\d{1,9})?") ? Double.parseDouble(wait) : 0;
        return new End(r.progress(), full ? Status.FULL : Status.ERROR, (long) (seconds * 1_000 * Clock.MS), 0, 0);
    }
}
