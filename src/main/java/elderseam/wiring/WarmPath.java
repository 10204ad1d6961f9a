package elderseam.wiring;

import elderseam.core.Clock;
import elderseam.core.Relay;
import elderseam.http.Call;
import elderseam.http.Connections;
import elderseam.http.Io;
import elderseam.http.UpstreamHost;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * The code that the first second needs, run before readiness: a few requests to the own listener, none of which can be
 * taken on, over the same connections and readers that calls to upstream hosts use.
 */
final class WarmPath {
    private static final long WITHIN_NS = 300 * Clock.MS; // readiness does not wait longer than this
    private static final int ROUNDS = 3;

    private WarmPath() {}

    /** {@code cls}: the name of a class of messages; {@code then} is run once, warm or not. */
    static void walk(Io io, InetSocketAddress listener, String cls, Runnable then) {
        String address = listener.getAddress().getHostAddress() + ":" + listener.getPort();
        Connections own = new Connections(io, WITHIN_NS, 1, 1 << 10);
        UpstreamHost self = new UpstreamHost("self", address);
        Map<String, String> nowhere = Map.of(
                "X-Txn",
                "warm",
                "X-Remaining",
                "1m",
                "X-Addressing",
                "dest=" + Relay.NOWHERE,
                "Idempotency-Key",
                "warm",
                "X-Org",
                "warm");
        List<Call> calls = List.of(Call.get("/health/ready"), new Call("POST", "/" + cls, nowhere, new byte[64]));
        step(io, own, self, calls, 0, io.clock.now() + WITHIN_NS, then);
    }

    private static void step(
            Io io, Connections own, UpstreamHost self, List<Call> calls, int n, long by, Runnable then) {
        if (n == ROUNDS * calls.size() || io.clock.now() >= by) {
            own.closeIdle(self);
            then.run();
            return;
        }
        own.send(self, calls.get(n % calls.size()), by, by, reply -> step(io, own, self, calls, n + 1, by, then));
    }
}
