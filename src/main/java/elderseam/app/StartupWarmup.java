package elderseam.app;

import elderseam.core.Clock;
import elderseam.core.RequestDispatcher;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequest;
import elderseam.http.IoLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * The code that the first second needs, run before readiness: a few requests to the own listener, none of which can be
 * taken on, over the same connections and readers that calls to upstream hosts use.
 */
final class StartupWarmup {
    private static final long WITHIN_NS = 300 * Clock.MS; // readiness does not wait longer than this
    private static final int ROUNDS = 3;

    private StartupWarmup() {}

    /** {@code cls}: the name of a class of messages; {@code then} is run once, warm or not. */
    static void walk(IoLoop io, InetSocketAddress listener, String cls, Runnable then) {
        String address = listener.getAddress().getHostAddress() + ":" + listener.getPort();
        EndpointConnectionPool own = new EndpointConnectionPool(io, WITHIN_NS, 1, 1 << 10);
        EndpointAddress self = new EndpointAddress("self", address);
        Map<String, String> nowhere = Map.of(
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
        List<HttpRequest> calls =
                List.of(HttpRequest.get("/health/ready"), new HttpRequest("POST", "/" + cls, nowhere, new byte[64]));
        step(io, own, self, calls, 0, io.clock.now() + WITHIN_NS, then);
    }

    private static void step(
            IoLoop io,
            EndpointConnectionPool own,
            EndpointAddress self,
            List<HttpRequest> calls,
            int n,
            long by,
            Runnable then) {
        if (n == ROUNDS * calls.size() || io.clock.now() >= by) {
            own.closeIdle(self);
            then.run();
            return;
        }
        own.send(self, calls.get(n % calls.size()), by, by, reply -> step(io, own, self, calls, n + 1, by, then));
    }
}
