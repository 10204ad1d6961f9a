package elderseam.frontend.platform;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.Clock;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequest;
import elderseam.http.HttpResult;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What clients still send to a process that has passed its work on: each request waits until the next process listens, and goes
 * there; its answer comes back. Bounded as the connections of clients are, which carry one request each.
 */
public final class SuccessorProxy {
    private static final long ANSWER_NS = 2_000 * Clock.MS; // a client waits 0.4 s
    private static final int MOST = 32; // under way at once; descriptors are counted for both processes
    private static final Set<String> OWN =
            Set.of("host", "connection", "content-length", "transfer-encoding", "expect");

    private record Waiting(HttpServer.Request request, HttpServer.Answerer to, long since) {}

    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private final EndpointAddress next;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private boolean open;
    private int out;

    public SuccessorProxy(IoLoop io, InetSocketAddress listener) {
        this.io = io;
        this.connections = new EndpointConnectionPool(io, ANSWER_NS, MOST, 1 << 10);
        this.next = new EndpointAddress("next", listener.getAddress().getHostAddress() + ":" + listener.getPort());
    }

    public void handle(HttpServer.Request request, HttpServer.Answerer to) {
        Waiting w = new Waiting(request, to, io.clock.now());
        waiting.add(w);
        passAll();
    }

    /** The next process listens. */
    public void open() {
        open = true;
        passAll();
    }

    private void passAll() {
        while (open && out < MOST && !waiting.isEmpty()) {
            pass(waiting.poll());
        }
    }

    /** It never will: they are this process's own again. */
    public void back(HttpServer.Handler handler) {
        List<Waiting> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(w -> handler.handle(aged(w), w.to));
    }

    /** Whether nothing is under way. */
    public boolean quiet() {
        return out == 0 && waiting.isEmpty();
    }

    private void pass(Waiting w) {
        HttpServer.Request r = aged(w);
        Map<String, String> headers = new HashMap<>();
        r.headers().forEach(h -> {
            if (!OWN.contains(h.getHeaderName().toString().toLowerCase(Locale.ROOT))) {
                headers.put(h.getHeaderName().toString(), h.getFirst());
            }
        });
        out++;
        long by = io.clock.now() + ANSWER_NS;
        connections.send(next, new HttpRequest(r.method(), r.path(), headers, r.body()), by, by, reply -> {
            out--;
            answer(reply, w.to);
            passAll();
        });
    }

    /** What may have been taken on there is not refused here: its client, told nothing, asks again under a new id. */
    private static void answer(HttpResult reply, HttpServer.Answerer to) {
        if (reply.answered()) {
            String again = reply.header("Retry-After");
            to.answer(
                    reply.code(),
                    again.isEmpty() ? Map.of() : Map.of("Retry-After", again),
                    new String(reply.body(), java.nio.charset.StandardCharsets.UTF_8));
        } else if (reply.progress() == Progress.NOT_CONNECTED || reply.progress() == Progress.PARTLY_WRITTEN) {
            to.answer(503, Map.of("Retry-After", "0.100"), "");
        }
    }

    /** Its time goes on while it waits here. */
    private HttpServer.Request aged(Waiting w) {
        long left = PlatformFrontend.remaining(w.request.header("X-Remaining")), waited = io.clock.now() - w.since;
        if (left > 0 && waited > Clock.MS) {
            w.request
                    .headers()
                    .put(new io.undertow.util.HttpString("X-Remaining"), Math.max(0, left - waited) / 1_000 + "u");
        }
        return w.request;
    }
}
