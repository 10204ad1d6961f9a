package elderseam.app;

import elderseam.core.Clock;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequest;
import elderseam.http.HttpServer;
import elderseam.http.IoLoop;
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
 * A short life of a dispatcher, for the JVM to note which classes it needs: the build runs it once with
 * {@code -XX:ArchiveClassesAtExit}, and {@code deploy/serve.sh} maps what it wrote. In one process with stand-ins for
 * discovery, the place for notices and one upstream host, all on the loopback, it delivers, fails, refuses, waits and
 * drains; it ends by itself.
 */
public final class ClassArchiveTraining {
    private static final int MESSAGES = 120;
    private static final long PATIENCE_NS = 10_000 * Clock.MS;
    private static final String SETTINGS = """
            {"discovery":"ask","replicasOfMe":2,"flavors":["partner"],"localities":["z"],"weightKind":"nominal",
             "orgs":[{"name":"org","quotaPerS":100}],
             "limits":{"maxAttempts":12,"maxRetryAfterNs":3000000000,"mayCancel":true,"mostHeld":400,
                       "connIdleNs":15000000000,"connectTimeoutNs":1500000000},
             "extra":{"callSlots":20,"fades":"line"},"telemetry":{"fields":["x0","x1"]},
             "services":[{"name":"say","effect":"repeatable","giveUpNs":2000000000,"targetNs":1000000000,"windowNs":0},
                         {"name":"pay","effect":"once","giveUpNs":2000000000,"targetNs":1000000000,"windowNs":0}]}""";

    private final IoLoop io = new IoLoop(new Clock());
    private final Path folder = Files.createTempDirectory("elderseam-training");
    private String address; // of all the outside
    private int answered;

    private ClassArchiveTraining() throws IOException {}

    public static void run() throws Exception {
        new ClassArchiveTraining().live();
    }

    private void live() throws Exception {
        HttpServer partner = new HttpServer(
                io,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1 << 20,
                64,
                1 << 20,
                null,
                this::partner);
        address = text(partner.address());
        String listen = text(free());
        Path config = folder.resolve("config.json"), state = Files.createDirectory(folder.resolve("state"));
        Files.writeString(
                config,
                "{\"seed\":\"1\",\"discovery\":\"" + address + "\",\"limits\":{\"sockets\":256,"
                        + "\"memory_mb\":128,\"disk_mb\":3},\"known\":{\"version\":1,\"full\":true,\"servers\":["
                        + server(address)
                        + "]},\"settings\":" + SETTINGS + "}");
        Map<String, String> variables = Map.of(
                "RELAY_LISTEN",
                listen,
                "RELAY_DISCOVERY",
                address,
                "RELAY_STATE",
                state.toString(),
                "RELAY_CONFIG",
                config.toString());
        Runtime.getRuntime().addShutdownHook(new Thread(this::clean, "clean"));
        DispatcherServer.serve(variables, Files.writeString(folder.resolve("elderseam.ini"), "# nothing is told\n"));
        EndpointConnectionPool client = new EndpointConnectionPool(io, PATIENCE_NS, 8, 1 << 10);
        io.at(io.clock.now() + 300 * Clock.MS, () -> send(client, new EndpointAddress("self", listen), 0));
    }

    /** One message after the other; then the end. */
    private void send(EndpointConnectionPool client, EndpointAddress to, int n) {
        if (n == MESSAGES) {
            io.at(io.clock.now() + 1_500 * Clock.MS, () -> new Thread(() -> System.exit(0), "end").start());
            return;
        }
        long by = io.clock.now() + 500 * Clock.MS;
        client.send(
                to,
                new HttpRequest(
                        "POST",
                        n % 3 == 0 ? "/pay" : "/say",
                        Map.of(
                                "X-Txn",
                                "t" + n,
                                "X-Org",
                                "org",
                                "X-Remaining",
                                "1200m",
                                "X-Addressing",
                                "dest=1",
                                "Idempotency-Key",
                                "k" + n),
                        new byte[n * 8]),
                by,
                by,
                reply -> io.at(io.clock.now() + 5 * Clock.MS, () -> send(client, to, n + 1)));
    }

    /** All the outside there is. */
    private void partner(HttpServer.Request r, HttpServer.Answerer to) {
        if (r.path().startsWith("/registry")) {
            io.at(
                    io.clock.now() + 200 * Clock.MS,
                    () -> to.answer(
                            200, Map.of(), "{\"version\":2,\"full\":true,\"servers\":[" + server(address) + "]}"));
        } else if (r.path().equals("/status")) {
            to.answer(204, Map.of(), "");
        } else {
            int n = answered++;
            Map<String, String> told = Map.of("X-Pressure", "TEXT x0=0.9, x1=100", "X-RateLimit-Wait-Ms", "30");
            int code = List.of(200, 200, 429, 200, 503, 200, 500, 200, 200, 200).get(n % 10);
            io.at(io.clock.now() + Clock.MS, () -> to.answer(code, told, ""));
        }
    }

    private static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    private static String server(String address) {
        return "{\"id\":\"s1\",\"addr\":\"" + address
                + "\",\"zone\":\"z\",\"kind\":\"partner\",\"cell\":1,\"state\":\"SERVING\","
                + "\"weight\":100.0,\"started_ms\":0}";
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) s.getLocalSocketAddress();
        }
    }

    private void clean() {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            System.err.println("training: " + e); // what is left is in the temporary folder
        }
    }
}
