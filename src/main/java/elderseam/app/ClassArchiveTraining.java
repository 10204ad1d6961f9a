package elderseam.app;

import static elderseam.logging.LogField.error;

import elderseam.core.Clock;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.ExchangeListener;
import elderseam.http.HttpRequest;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
import elderseam.logging.EventLogger;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A short run of a dispatcher by which the JVM learns what classes one needs: the build runs it once with {@code
 * -XX:ArchiveClassesAtExit}, and {@code deploy/serve.sh} maps the archive that it writes. In one process, all on the
 * loopback, it stands in for discovery, the receiver of notifications and one endpoint; requests are delivered, fail,
 * are rejected and wait; then it drains and exits by itself.
 */
public final class ClassArchiveTraining {
    private static final EventLogger LOG = EventLogger.of(ClassArchiveTraining.class);

    private static final int REQUESTS = 120;
    private static final long CLIENT_IDLE_NS = 10_000 * Clock.MILLISECOND_NS;
    private static final long START_DELAY_NS = 300 * Clock.MILLISECOND_NS;
    private static final long REQUEST_TIMEOUT_NS = 500 * Clock.MILLISECOND_NS;
    private static final long REQUEST_INTERVAL_NS = 5 * Clock.MILLISECOND_NS;
    private static final long END_DELAY_NS = 1_500 * Clock.MILLISECOND_NS;
    private static final long DISCOVERY_DELAY_NS = 200 * Clock.MILLISECOND_NS;
    private static final long ANSWER_DELAY_NS = Clock.MILLISECOND_NS;

    private static final int MAX_CLIENT_CONNECTIONS = 8;
    private static final int MAX_CLIENT_ANSWER_BYTES = 1 << 10;
    private static final int MAX_PARTNER_CONNECTIONS = 64;
    private static final int MAX_PARTNER_BODY_BYTES = 1 << 20;
    private static final int BODY_BYTES_PER_REQUEST = 8;

    /** The endpoint's answers, by turns. */
    private static final List<Integer> STATUS_CODES = List.of(200, 200, 429, 200, 503, 200, 500, 200, 200, 200);

    private static final String PLATFORM_SETTINGS = """
            {"discovery":"ask","replicasOfMe":2,"flavors":["partner"],"localities":["z"],"weightKind":"nominal",
             "orgs":[{"name":"org","quotaPerS":100}],
             "limits":{"maxAttempts":12,"maxRetryAfterNs":3000000000,"mayCancel":true,"mostHeld":400,
                       "connIdleNs":15000000000,"connectTimeoutNs":1500000000},
             "extra":{"callSlots":20,"fades":"line"},"telemetry":{"fields":["x0","x1"]},
             "services":[{"name":"say","effect":"repeatable","giveUpNs":2000000000,"targetNs":1000000000,"windowNs":0},
                         {"name":"pay","effect":"once","giveUpNs":2000000000,"targetNs":1000000000,"windowNs":0}]}""";

    private final IoLoop io = new IoLoop(new Clock());
    private final Path directory = Files.createTempDirectory("elderseam-training");
    private final String partnerAddress;
    private int answeredRequests;

    private ClassArchiveTraining() throws IOException {
        HttpServer partner = new HttpServer(
                io,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                MAX_PARTNER_BODY_BYTES,
                MAX_PARTNER_CONNECTIONS,
                MAX_PARTNER_BODY_BYTES,
                null,
                this::answerAsPartner);
        partnerAddress = text(partner.address());
    }

    /**
     * Begins the run, which exits the process with 0 when it is done; returns at once.
     *
     * @throws IOException if a port of the loopback or a temporary directory can't be used
     */
    public static void run() throws IOException {
        new ClassArchiveTraining().start();
    }

    private void start() throws IOException {
        String listen = text(freeAddress());
        Path state = Files.createDirectory(directory.resolve("state"));
        Path config = Files.writeString(directory.resolve("config.json"), platformConfig());
        Map<String, String> variables = Map.of(
                "RELAY_LISTEN",
                listen,
                "RELAY_DISCOVERY",
                partnerAddress,
                "RELAY_STATE",
                state.toString(),
                "RELAY_CONFIG",
                config.toString());
        Runtime.getRuntime().addShutdownHook(new Thread(this::deleteDirectory, "clean"));
        DispatcherServer.serve(variables, Files.writeString(directory.resolve("elderseam.ini"), "# nothing is told\n"));
        EndpointConnectionPool client =
                new EndpointConnectionPool(io, CLIENT_IDLE_NS, MAX_CLIENT_CONNECTIONS, MAX_CLIENT_ANSWER_BYTES);
        EndpointAddress dispatcher = new EndpointAddress("self", listen);
        io.at(io.clock.now() + START_DELAY_NS, () -> send(client, dispatcher, 0));
    }

    private String platformConfig() {
        return "{\"seed\":\"1\",\"discovery\":\"" + partnerAddress + "\",\"limits\":{\"sockets\":256,"
                + "\"memory_mb\":128,\"disk_mb\":3},\"known\":{\"version\":1,\"full\":true,\"servers\":["
                + endpointEntry() + "]},\"settings\":" + PLATFORM_SETTINGS + "}";
    }

    /** One request after the other; then the exit. */
    private void send(EndpointConnectionPool client, EndpointAddress dispatcher, int number) {
        if (number == REQUESTS) {
            io.at(io.clock.now() + END_DELAY_NS, () -> new Thread(() -> System.exit(0), "end").start());
            return;
        }
        long deadlineNs = io.clock.now() + REQUEST_TIMEOUT_NS;
        ExchangeListener next = ExchangeListener.ofTrustedPeer(reply -> {
            long nextNs = io.clock.now() + REQUEST_INTERVAL_NS;
            io.at(nextNs, () -> send(client, dispatcher, number + 1));
        });
        client.send(dispatcher, request(number), deadlineNs, deadlineNs, next);
    }

    private static HttpRequest request(int number) {
        Map<String, String> headers = Map.of(
                "X-Txn",
                "t" + number,
                "X-Org",
                "org",
                "X-Remaining",
                "1200m",
                "X-Addressing",
                "dest=1",
                "Idempotency-Key",
                "k" + number);
        String path = number % 3 == 0 ? "/pay" : "/say";
        return new HttpRequest("POST", path, headers, new byte[number * BODY_BYTES_PER_REQUEST]);
    }

    /** Discovery, the receiver of notifications, and the endpoint. */
    private void answerAsPartner(HttpServer.Request request, HttpServer.Answerer answerer) {
        if (request.path().startsWith("/registry")) {
            String list = "{\"version\":2,\"full\":true,\"servers\":[" + endpointEntry() + "]}";
            io.at(io.clock.now() + DISCOVERY_DELAY_NS, () -> answerer.answer(200, Map.of(), list));
        } else if (request.path().equals("/status")) {
            answerer.answer(204, Map.of(), "");
        } else {
            int code = STATUS_CODES.get(answeredRequests % STATUS_CODES.size());
            answeredRequests++;
            Map<String, String> headers = Map.of("X-Pressure", "TEXT x0=0.9, x1=100", "X-RateLimit-Wait-Ms", "30");
            io.at(io.clock.now() + ANSWER_DELAY_NS, () -> answerer.answer(code, headers, ""));
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private String endpointEntry() {
        return "{\"id\":\"s1\",\"addr\":\"" + partnerAddress
                + "\",\"zone\":\"z\",\"kind\":\"partner\",\"cell\":1,\"state\":\"SERVING\","
                + "\"weight\":100.0,\"started_ms\":0}";
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private void deleteDirectory() {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            LOG.warn("training.cleanup_failed", error(e)); // what is left is in the temporary directory
        }
    }
}
