package elderseam.frontend.platform;

import static elderseam.logging.LogField.error;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.Clock;
import elderseam.core.JsonValue;
import elderseam.core.RequestDispatcher;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.EndpointExchange;
import elderseam.http.HttpRequest;
import elderseam.http.HttpResult;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import elderseam.policy.ListUpdateKind;
import java.io.IOException;
import java.util.List;

/**
 * Watches the list of upstream hosts. Each answer is followed at once by the next call, so that the watch goes on; one that
 * has fallen silent is opened anew at once, since what it misses counts as told from 6 s after it fell silent; a call that
 * fails otherwise is told as such, and the module says when to ask again.
 */
public final class DiscoveryWatcher {
    private static final EventLogger LOG = EventLogger.of(DiscoveryWatcher.class);

    private static final long WAIT_MS = 3_500; // a silent discovery shows after this
    private static final long ANSWER_NS =
            1_500 * Clock.MS; // and so much more for the answer: a second is left to ask anew

    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private EndpointAddress address;
    private final EndpointList hosts;
    private final RequestDispatcher relay;
    private long version;
    private boolean anew; // a new place has not answered yet: its versions are not those of the old one
    private boolean stopped; // another process watches
    private EndpointExchange out; // the one call under way, or none
    private Runnable answered = () -> {};

    public DiscoveryWatcher(
            IoLoop io,
            EndpointConnectionPool connections,
            EndpointAddress address,
            EndpointList hosts,
            RequestDispatcher relay) {
        this.io = io;
        this.connections = connections;
        this.address = address;
        this.hosts = hosts;
        this.relay = relay;
    }

    /** The list as this dispatcher had it last; it may be old. */
    public void known(JsonValue list) {
        version = list.get("version").asLong(0);
        relay.updateEndpoints(ListUpdateKind.CACHED, hosts.decode(list.get("servers"), true));
    }

    /** The list of the process before this one. Its discovery may have been another, so all is asked for once. */
    public void takenOver(JsonValue list) {
        anew = true;
        known(list);
    }

    /** Asks for news, unless a call is out. */
    public void watch() {
        if (out == null && !stopped && anew) {
            ask("", io.clock.now() + ANSWER_NS);
        } else if (out == null && !stopped) {
            ask("?after=" + version + "&wait_ms=" + WAIT_MS, io.clock.now() + WAIT_MS * Clock.MS + ANSWER_NS);
        }
    }

    /** Another process watches from now on. */
    public void passOn() {
        stopped = true;
        drop();
    }

    /** What is out counts for nothing, whatever it might still bring. */
    private void drop() {
        EndpointExchange old = out;
        out = null;
        if (old != null) {
            old.cancel();
        }
        connections.closeIdle(address);
    }

    /** Run each time discovery has answered, be it that nothing is new; {@link #list} then has what it told. */
    public void onAnswer(Runnable answered) {
        this.answered = answered;
    }

    /** The list as another dispatcher has it from the same discovery; it counts only while this one does not watch. */
    public void heard(JsonValue list) {
        if (stopped && list.get("version").asLong(0) != version) {
            version = list.get("version").asLong(0);
            relay.updateEndpoints(ListUpdateKind.COMPLETE, hosts.decode(list.get("servers"), true));
        }
    }

    /** How long it is from one answer to the next, at the most, while discovery answers. */
    public static long longestNs() {
        return WAIT_MS * Clock.MS + ANSWER_NS;
    }

    /** It does not, after all. */
    public void resume() {
        stopped = false;
        watch();
    }

    /** The list as it stands, in discovery's form. */
    public String list() {
        return hosts.encoded(version);
    }

    /** Discovery is elsewhere from now on: what is out at the old address counts for nothing, and the new one, whose
     *  versions may be others, is asked for all it has. */
    public void move(EndpointAddress to) {
        if (to.equals(address)) {
            return;
        }
        drop();
        address = to;
        anew = true;
        watch();
    }

    private void ask(String query, long by) {
        EndpointExchange[] own = new EndpointExchange[1];
        own[0] = connections.send(
                address, HttpRequest.get("/registry/instances" + query), io.clock.now() + ANSWER_NS, by, reply -> {
                    if (out == own[0]) {
                        out = null;
                        told(reply);
                    }
                });
        out = own[0];
    }

    private void told(HttpResult reply) {
        if (reply.answered() && reply.failure() == null && reply.code() == 200) {
            try {
                JsonValue list = JsonValue.read(reply.body());
                version = list.get("version").asLong(version);
                anew = false;
                watch();
                boolean whole = list.get("full").asBoolean();
                relay.updateEndpoints(
                        whole ? ListUpdateKind.COMPLETE : ListUpdateKind.CHANGES,
                        hosts.decode(list.get("servers"), whole));
                answered.run();
                return;
            } catch (IOException e) {
                LOG.warn("discovery.response_invalid", error(e));
            }
        }
        if (reply.failure() == Status.TIMED_OUT && reply.progress() == Progress.WRITTEN) {
            connections.closeIdle(address); // those may be as silent as this one was
            watch();
            return;
        }
        relay.updateEndpoints(ListUpdateKind.FAILED, List.of());
    }
}
