package elderseam.testkit.faults;

import elderseam.core.Clock;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequest;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.http.XnioStartup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** All the outside of a fleet in one place: discovery, the place for notices, one partner that delivers, and a client. */
final class ExternalServices {
    private static final long WATCH_NS = 1_000 * Clock.MILLISECOND_NS;
    private static final long PATIENCE_NS = 5_000 * Clock.MILLISECOND_NS;
    private static final String SETTINGS = """
            {"discovery":"ask","replicasOfMe":MEMBERS,"flavors":["partner"],"localities":["z"],"weightKind":"nominal",
             "orgs":[{"name":"org","quotaPerS":100}],
             "limits":{"maxAttempts":12,"maxRetryAfterNs":3000000000,"mayCancel":true,"mostHeld":400,
                       "connIdleNs":15000000000,"connectTimeoutNs":1500000000},
             "extra":{"callSlots":20,"fades":"line"},"telemetry":{"fields":["x0","x1"]},
             "services":[{"name":"say","effect":"repeatable","giveUpNs":4000000000,"targetNs":1000000000,"windowNs":0}]}""";

    private final IoLoop io;
    private final HttpServer server;
    private final EndpointConnectionPool client;
    private final AtomicLong delivered = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong lists = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final int members;
    private final List<HttpServer> more = new ArrayList<>(); // the further endpoints of the first destination
    private final AtomicLongArray calls; // at each endpoint of it
    private volatile boolean failing;
    private volatile int destinations = 1; // and the list's version, less one

    /** {@code members}: as the dispatchers are told; {@code endpoints}: of the first destination's partner. */
    ExternalServices(int members, int endpoints) throws IOException {
        XnioStartup.configure();
        this.members = members;
        this.calls = new AtomicLongArray(endpoints);
        io = new IoLoop(new Clock());
        server = new HttpServer(
                io,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1 << 20,
                256,
                1 << 20,
                null,
                this::answer);
        client = new EndpointConnectionPool(io, PATIENCE_NS, 64, 1 << 10);
        for (int i = 1; i < endpoints; i++) {
            int number = i;
            more.add(new HttpServer(
                    io,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    1 << 20,
                    256,
                    1 << 20,
                    null,
                    (r, to) -> partner(number, to)));
        }
    }

    String address() {
        return "127.0.0.1:" + server.address().getPort();
    }

    /** What the RELAY_CONFIG of the dispatcher with that number holds. */
    String config(int number) {
        return "{\"seed\":\"" + number + "\",\"discovery\":\"" + address()
                + "\",\"limits\":{\"sockets\":512,\"memory_mb\":192,\"disk_mb\":3}," + "\"known\":" + list()
                + ",\"settings\":" + SETTINGS.replace("MEMBERS", Integer.toString(members)) + "}";
    }

    private String list() {
        int now = destinations;
        return "{\"version\":" + (now + 1) + ",\"full\":true,\"servers\":["
                + IntStream.rangeClosed(1, now)
                        .mapToObj(d -> host("s" + d, address(), d))
                        .collect(Collectors.joining(","))
                + IntStream.range(0, more.size())
                        .mapToObj(i -> ","
                                + host(
                                        "s1-" + i,
                                        "127.0.0.1:" + more.get(i).address().getPort(),
                                        1))
                        .collect(Collectors.joining())
                + "]}";
    }

    private static String host(String id, String at, int destination) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + at + "\",\"zone\":\"z\",\"kind\":\"partner\",\"cell\":"
                + destination + ",\"state\":\"SERVING\",\"weight\":100.0,\"started_ms\":0}";
    }

    /** Discovery lists one destination more from now on; its number. */
    synchronized int grow() {
        return ++destinations;
    }

    /** How often discovery was asked. */
    long lists() {
        return lists.get();
    }

    private void answer(HttpServer.Request r, HttpServer.Answerer to) {
        if (r.path().startsWith("/registry")) {
            lists.incrementAndGet();
            io.at(io.clock.now() + WATCH_NS, () -> to.answer(200, Map.of(), list()));
        } else if (r.path().equals("/status")) {
            to.answer(204, Map.of(), "");
        } else {
            partner(0, to);
        }
    }

    private void partner(int endpoint, HttpServer.Answerer to) {
        calls.incrementAndGet(endpoint);
        if (failing) {
            failed.incrementAndGet();
            to.answer(500, Map.of(), "");
        } else {
            delivered.incrementAndGet();
            to.answer(200, Map.of(), "");
        }
    }

    /** How many calls each endpoint of the first destination has had; further destinations count at its first one. */
    long[] calls() {
        return IntStream.range(0, calls.length()).mapToLong(calls::get).toArray();
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
            client.send(
                    new EndpointAddress("member", member),
                    new HttpRequest(
                            "POST",
                            "/say",
                            Map.of(
                                    "X-Txn",
                                    "rig" + n,
                                    "X-Org",
                                    "org",
                                    "X-Remaining",
                                    "3500m",
                                    "X-Addressing",
                                    "dest=" + destination,
                                    "Idempotency-Key",
                                    "k" + n),
                            new byte[8]),
                    by,
                    by,
                    reply -> code.complete(reply.code()));
        });
        return code;
    }
}
