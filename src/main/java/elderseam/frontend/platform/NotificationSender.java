package elderseam.frontend.platform;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.FinalOutcome;
import elderseam.core.RequestDispatcher;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.EndpointExchange;
import elderseam.http.HttpRequest;
import elderseam.http.HttpResult;
import elderseam.http.IoLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Tells the platform how messages taken on have ended, again and again until it says 204; those whose time is up soonest
 * first. Bounded as the messages held are: each is in here once.
 */
final class NotificationSender {
    private static final int MOST = 200; // lines in one call
    private static final long ANSWER_NS = 800 * Clock.MS, AGAIN_NS = 100 * Clock.MS;

    /** One notice, and when its message's time is up. */
    private record Line(long due, String id, String text) implements Comparable<Line> {
        @Override
        public int compareTo(Line o) {
            return due != o.due ? Long.compare(due, o.due) : id.compareTo(o.id);
        }
    }

    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private EndpointAddress address;
    private final RequestDispatcher relay;
    private final Map<String, Line> owed = new HashMap<>();
    private final TreeSet<Line> byDue = new TreeSet<>(); // the same, what is due soonest first
    private boolean passedOn; // another process tells them
    private boolean out; // a post is under way, or about to be
    private EndpointExchange request;

    NotificationSender(
            IoLoop io, EndpointConnectionPool connections, EndpointAddress address, RequestDispatcher relay) {
        this.io = io;
        this.connections = connections;
        this.address = address;
        this.relay = relay;
    }

    void add(ActiveRequest.Message m, FinalOutcome answer) {
        Line line = new Line(m.deadline(), m.id(), line(m.id(), answer));
        Line before = owed.put(m.id(), line);
        if (before != null) {
            byDue.remove(before);
        }
        byDue.add(line);
    }

    /** What ended in one turn travels together. */
    void tell() {
        if (!passedOn && !out && !owed.isEmpty()) {
            out = true;
            post();
        }
    }

    /** Notices go elsewhere from now on, those not yet acknowledged at once. */
    void move(EndpointAddress to) {
        if (to.equals(address)) {
            return;
        }
        connections.closeIdle(address);
        address = to;
        if (out) {
            post();
        }
    }

    /** Notices not yet acknowledged. */
    int owed() {
        return owed.size();
    }

    private static String line(String id, FinalOutcome answer) {
        return answer.kind() == FinalOutcome.Kind.REJECTED
                ? "{\"id\":\"" + id + "\",\"status\":\"deferred\",\"again_ms\":" + answer.retryAfterNs() / Clock.MS
                        + "}\n"
                : "{\"id\":\"" + id + "\",\"status\":\"undeliverable\"}\n";
    }

    /** Whether another process tells them from now on. */
    void passOn(boolean passedOn) {
        this.passedOn = passedOn;
        tell();
    }

    private void post() {
        if (passedOn) {
            out = false;
            return;
        }
        EndpointExchange old = request;
        request = null;
        if (old != null) {
            old.cancel();
        }
        List<String> ids = new ArrayList<>();
        StringBuilder lines = new StringBuilder();
        byDue.stream().limit(MOST).forEach(line -> {
            ids.add(line.id);
            lines.append(line.text);
        });
        long by = io.clock.now() + ANSWER_NS;
        HttpRequest post =
                new HttpRequest("POST", "/status", Map.of(), lines.toString().getBytes(StandardCharsets.UTF_8));
        EndpointExchange[] own = new EndpointExchange[1];
        own[0] = connections.send(address, post, by, by, r -> {
            if (request == own[0]) { // told from a later task, as every answer is
                told(ids, r);
            }
        });
        request = own[0];
    }

    private void told(List<String> ids, HttpResult reply) {
        boolean heard = reply.answered() && reply.code() == 204;
        if (heard) {
            ids.forEach(id -> {
                byDue.remove(owed.remove(id));
                relay.markNotified(id);
            });
        }
        out = !owed.isEmpty();
        if (out && heard) {
            post();
        } else if (out) {
            EndpointExchange failed = request;
            io.at(io.clock.now() + AGAIN_NS, () -> {
                if (request == failed) { // else a move has posted already
                    post();
                }
            });
        }
    }
}
