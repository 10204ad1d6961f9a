package elderseam.testkit.faults;

import elderseam.core.Clock;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequest;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.http.XnioStartup;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.IntStream;

/**
 * Stand-ins for all that is outside of a cluster: discovery, the receiver of status notices, one partner that takes messages,
 * and a client that sends them. Thread-safe; requests are answered on the thread of one loop.
 */
final class ExternalServices {
    private static final long WATCH_ANSWER_NS = 1_000 * Clock.MILLISECOND_NS;
    private static final long MESSAGE_TIMEOUT_NS = 5_000 * Clock.MILLISECOND_NS;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_BODY_BYTES_IN_TRANSIT = 1 << 20;
    private static final int MAX_SERVER_CONNECTIONS = 256;
    private static final int MAX_CLIENT_CONNECTIONS = 64;
    private static final int MAX_RESPONSE_BYTES = 1 << 10;
    private static final int MESSAGE_BYTES = 8;

    /** The settings of every dispatcher; MEMBERS stands for the number of them. */
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
    private final AtomicLong listRequests = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final int members;
    private final List<HttpServer> furtherEndpoints = new ArrayList<>(); // of the first destination
    private final AtomicLongArray calls; // at each endpoint of the first destination
    private volatile boolean failing;
    private volatile int destinations = 1; // the version of discovery's list is one more

    /**
     * Starts the stand-ins.
     *
     * @param members how many dispatchers there are, as they are told
     * @param endpoints how many the partner of the first destination has
     */
    ExternalServices(int members, int endpoints) throws IOException {
        XnioStartup.configure();
        this.members = members;
        this.calls = new AtomicLongArray(endpoints);
        io = new IoLoop(new Clock());
        server = startServer(this::answer);
        client = new EndpointConnectionPool(io, MESSAGE_TIMEOUT_NS, MAX_CLIENT_CONNECTIONS, MAX_RESPONSE_BYTES);
        for (int i = 1; i < endpoints; i++) {
            int endpoint = i;
            furtherEndpoints.add(startServer((request, answerer) -> answerAsPartner(endpoint, answerer)));
        }
    }

    private HttpServer startServer(HttpServer.Handler handler) throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new HttpServer(
                io, anyPort, MAX_BODY_BYTES, MAX_SERVER_CONNECTIONS, MAX_BODY_BYTES_IN_TRANSIT, null, handler);
    }

    /** Where discovery, the receiver of notices and the partner's first endpoint are. */
    String address() {
        return address(server);
    }

    private static String address(HttpServer server) {
        return "127.0.0.1:" + server.address().getPort();
    }

    /** The content of RELAY_CONFIG for the dispatcher with that number. */
    String config(int number) {
        String settings = SETTINGS.replace("MEMBERS", Integer.toString(members));
        return "{\"seed\":\"" + number + "\",\"discovery\":\"" + address()
                + "\",\"limits\":{\"sockets\":512,\"memory_mb\":192,\"disk_mb\":3}," + "\"known\":" + serverList()
                + ",\"settings\":" + settings + "}";
    }

    /** What discovery answers now. */
    private String serverList() {
        int listed = destinations;
        List<String> servers = new ArrayList<>();
        for (int destination = 1; destination <= listed; destination++) {
            servers.add(server("s" + destination, address(), destination));
        }
        for (int i = 0; i < furtherEndpoints.size(); i++) {
            servers.add(server("s1-" + i, address(furtherEndpoints.get(i)), 1));
        }
        return "{\"version\":" + (listed + 1) + ",\"full\":true,\"servers\":[" + String.join(",", servers) + "]}";
    }

    private static String server(String id, String address, int destination) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address
                + "\",\"zone\":\"z\",\"kind\":\"partner\",\"cell\":" + destination
                + ",\"state\":\"SERVING\",\"weight\":100.0,\"started_ms\":0}";
    }

    /** Has discovery list one destination more from now on; its number. */
    synchronized int addDestination() {
        return ++destinations;
    }

    /** How often discovery was asked. */
    long listRequests() {
        return listRequests.get();
    }

    private void answer(HttpServer.Request request, HttpServer.Answerer answerer) {
        if (request.path().startsWith("/registry")) {
            listRequests.incrementAndGet();
            io.at(
                    io.clock.now() + WATCH_ANSWER_NS,
                    () -> answerer.answer(HttpURLConnection.HTTP_OK, Map.of(), serverList()));
        } else if (request.path().equals("/status")) {
            answerer.answer(HttpURLConnection.HTTP_NO_CONTENT, Map.of(), "");
        } else {
            answerAsPartner(0, answerer);
        }
    }

    private void answerAsPartner(int endpoint, HttpServer.Answerer answerer) {
        calls.incrementAndGet(endpoint);
        if (failing) {
            failed.incrementAndGet();
            answerer.answer(HttpURLConnection.HTTP_INTERNAL_ERROR, Map.of(), "");
        } else {
            delivered.incrementAndGet();
            answerer.answer(HttpURLConnection.HTTP_OK, Map.of(), "");
        }
    }

    /** How many calls each endpoint of the first destination has had; further destinations count at its first one. */
    long[] calls() {
        return IntStream.range(0, calls.length()).mapToLong(calls::get).toArray();
    }

    /** Has the partner answer every call with an error from now on, or take messages again. */
    void setFailing(boolean failing) {
        this.failing = failing;
    }

    /** How many calls the partner answered with an error. */
    long failed() {
        return failed.get();
    }

    /** How many messages the partner took. */
    long delivered() {
        return delivered.get();
    }

    /**
     * Sends one message for a destination to a member.
     *
     * @param memberAddress where the member serves
     * @return the answer's status code, 0 where none came
     */
    CompletableFuture<Integer> send(String memberAddress, int destination) {
        CompletableFuture<Integer> code = new CompletableFuture<>();
        long number = sent.incrementAndGet();
        Map<String, String> headers = Map.of(
                "X-Txn", "rig" + number,
                "X-Org", "org",
                "X-Remaining", "3500m",
                "X-Addressing", "dest=" + destination,
                "Idempotency-Key", "k" + number);
        HttpRequest request = new HttpRequest("POST", "/say", headers, new byte[MESSAGE_BYTES]);
        io.run(() -> {
            long deadlineNs = io.clock.now() + MESSAGE_TIMEOUT_NS;
            client.send(
                    new EndpointAddress("member", memberAddress),
                    request,
                    deadlineNs,
                    deadlineNs,
                    result -> code.complete(result.code()));
        });
        return code;
    }
}
