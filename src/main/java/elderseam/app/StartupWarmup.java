package elderseam.app;

import elderseam.core.Clock;
import elderseam.core.RequestDispatcher;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.ExchangeListener;
import elderseam.http.HttpRequest;
import elderseam.http.IoLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * Runs the code that the first second needs before readiness: a few requests to the process's own listener, none of
 * which can be accepted, over the same connections and parsers that attempts use. Confined to the I/O thread.
 */
final class StartupWarmup {
    /** Readiness does not wait longer than this. */
    private static final long LIMIT_NS = 300 * Clock.MILLISECOND_NS;

    private static final int ROUNDS = 3;
    private static final int BODY_BYTES = 64;
    private static final int MAX_ANSWER_BYTES = 1 << 10;

    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private final EndpointAddress self;
    private final List<HttpRequest> requests;
    private final long deadlineNs;
    private final Runnable onDone;

    private StartupWarmup(IoLoop io, EndpointAddress self, List<HttpRequest> requests, Runnable onDone) {
        this.io = io;
        this.connections = new EndpointConnectionPool(io, LIMIT_NS, 1, MAX_ANSWER_BYTES);
        this.self = self;
        this.requests = requests;
        this.deadlineNs = io.clock.now() + LIMIT_NS;
        this.onDone = onDone;
    }

    /**
     * Begins to warm up.
     *
     * @param listener the process's own platform listener
     * @param requestClass the name of any request class
     * @param onDone called once, warmed up or not
     */
    static void run(IoLoop io, InetSocketAddress listener, String requestClass, Runnable onDone) {
        String address = listener.getAddress().getHostAddress() + ":" + listener.getPort();
        Map<String, String> unroutable = Map.of(
                "X-Txn",
                "warm",
                "X-Remaining",
                "1m",
                "X-Addressing",
                "dest=" + RequestDispatcher.NO_DESTINATION,
                "Idempotency-Key",
                "warm",
                "X-Org",
                "warm");
        List<HttpRequest> requests = List.of(
                HttpRequest.get("/health/ready"),
                new HttpRequest("POST", "/" + requestClass, unroutable, new byte[BODY_BYTES]));
        new StartupWarmup(io, new EndpointAddress("self", address), requests, onDone).send(0);
    }

    private void send(int sent) {
        if (sent == ROUNDS * requests.size() || io.clock.now() >= deadlineNs) {
            connections.closeIdle(self);
            onDone.run();
            return;
        }
        HttpRequest request = requests.get(sent % requests.size());
        ExchangeListener next = ExchangeListener.ofTrustedPeer(reply -> send(sent + 1));
        connections.send(self, request, deadlineNs, deadlineNs, next);
    }
}
