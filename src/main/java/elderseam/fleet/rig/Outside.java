package elderseam.fleet.rig;

import elderseam.core.Clock;
import elderseam.http.Call;
import elderseam.http.Connections;
import elderseam.http.Io;
import elderseam.http.Lean;
import elderseam.http.Server;
import elderseam.http.UpstreamHost;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** All the outside of a fleet in one place: discovery, the place for notices, one partner that delivers, and a client. */
final class Outside {
    private static final long WATCH_NS = 1_000 * Clock.MS, PATIENCE_NS = 5_000 * Clock.MS;
    private static final String SETTINGS = """
            {"discovery":"ask","replicasOfMe":3,"flavors":["bank"],"localities":["z"],"weightKind":"nominal",
             "orgs":[{"name":"org","quotaPerS":100}],
             "limits":{"maxAttempts":12,"maxRetryAfterNs":3000000000,"mayCancel":true,"mostHeld":400,
                       "connIdleNs":15000000000,"connectTimeoutNs":1500000000},
             "extra":{"callSlots":20,"fades":"line"},"telemetry":{"fields":["x0","x1"]},
             "services":[{"name":"say","effect":"repeatable","giveUpNs":4000000000,"targetNs":1000000000,"windowNs":0}]}""";

    private final Io io;
    private final Server server;
    private final Connections client;
    private final AtomicLong delivered = new AtomicLong(), sent = new AtomicLong(), lists = new AtomicLong(), failed = new AtomicLong();
    private volatile boolean failing;
    private volatile int destinations = 1;   // and the list's version, less one

    Outside() throws IOException {
        Lean.start();
        io = new Io(new Clock());
        server = new Server(io, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1 << 20, 256, 1 << 20, null, this::answer);
        client = new Connections(io, PATIENCE_NS, 64, 1 << 10);
    }

    String address() {
        return "127.0.0.1:" + server.address().getPort();
    }

    /** What a dispatcher's RELAY_CONFIG holds. */
    String config() {
        return "{\"seed\":\"1\",\"discovery\":\"" + address() + "\",\"limits\":{\"sockets\":512,\"memory_mb\":192,\"disk_mb\":3},"
                + "\"known\":" + list() + ",\"settings\":" + SETTINGS + "}";
    }

    private String list() {
        int now = destinations;
        return "{\"version\":" + (now + 1) + ",\"full\":true,\"servers\":[" + IntStream.rangeClosed(1, now).mapToObj(this::partner).collect(Collectors.joining(","))
                + "]}";
    }

    private String partner(int destination) {
        return "{\"id\":\"s" + destination + "\",\"addr\":\"" + address() + "\",\"zone\":\"z\",\"kind\":\"bank\",\"cell\":" + destination
                + ",\"state\":\"SERVING\",\"weight\":100.0,\"started_ms\":0}";
    }

    /** Discovery lists one destination more from now on; its number. */
    synchronized int grow() {
        return ++destinations;
    }

    /** How often discovery was asked. */
    long lists() {
        return lists.get();
    }

    private void answer(Server.Request r, Server.Answerer to) {
        if (r.path().startsWith("/registry")) {
            lists.incrementAndGet();
            io.at(io.clock.now() + WATCH_NS, () -> to.answer(200, Map.of(), list()));
        } else if (r.path().equals("/status")) {
            to.answer(204, Map.of(), "");
        } else {
            if (failing) {
                failed.incrementAndGet();
                to.answer(500, Map.of(), "");
            } else {
                delivered.incrementAndGet();
                to.answer(200, Map.of(), "");
            }
        }
    }

    /** The partner answers every call with an error from now on, or delivers again. */
    void fail(boolean fails) {
        failing = fails;
    }

    /** How many calls it answered with an error. */
    long failed() {
        return failed.get();
    }

    /** How many messages the partner took. */
    long delivered() {
        return delivered.get();
    }

    /** Hands one message for a destination in at a member; its answer's code, 0 where none came. */
    CompletableFuture<Integer> send(String member, int destination) {
        CompletableFuture<Integer> code = new CompletableFuture<>();
        long n = sent.incrementAndGet();
        io.run(() -> {
            long by = io.clock.now() + PATIENCE_NS;
            client.send(new UpstreamHost("member", member), new Call("POST", "/say", Map.of("X-Txn", "rig" + n, "X-Org", "org", "X-Remaining", "3500m",
                    "X-Addressing", "dest=" + destination, "Idempotency-Key", "k" + n), new byte[8]), by, by, reply -> code.complete(reply.code()));
        });
        return code;
    }
}
