package elderseam.testkit.faults;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.fleet.lease.FencingTokenCheck;
import elderseam.fleet.selftest.FaultTestHistory;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The stand-in resource that holders of leases act on: a line of JSON each act, admitted or fenced off by its token. One act
 * takes effect at a time, and the history has each at the instant it did.
 */
final class FencedStore implements Closeable {
    /** An act as it was told: of which lease, by which token and holder, and whether it took effect. */
    record Effect(String lease, String holder, long token, boolean admitted) {}

    private final ObjectMapper json = new ObjectMapper();
    private final FencingTokenCheck fence = new FencingTokenCheck();
    private final FaultTestHistory history;
    private final boolean fenced;
    private final Consumer<Effect> watch;
    private final ServerSocket server;

    /** {@code fenced} false: the planted fault, which admits whatever comes. */
    FencedStore(FaultTestHistory history, boolean fenced, Consumer<Effect> watch) throws IOException {
        this.history = history;
        this.fenced = fenced;
        this.watch = watch;
        server = new ServerSocket(0, 128, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
        start(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static void start(Runnable run) {
        Thread t = new Thread(run, "store");
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                // closed
            }
        }
    }

    private void serve(Socket socket) {
        try (socket;
                BufferedReader lines =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line; (line = lines.readLine()) != null; ) {
                boolean admitted = act(json.readTree(line));
                socket.getOutputStream()
                        .write((json.writeValueAsString(Map.of("admitted", admitted)) + "\n")
                                .getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // the caller has gone; what it told has taken effect or not, as the history says
        }
    }

    private synchronized boolean act(JsonNode told) {
        Effect e = new Effect(
                told.get("lease").asText(),
                told.get("holder").asText(),
                told.get("token").asLong(),
                true);
        boolean admitted = fence.admit(e.lease(), e.token()) || !fenced;
        history.event("effect")
                .with("lease", e.lease())
                .with("holder", e.holder())
                .with("token", e.token())
                .with("n", told.get("n").asLong())
                .with("admitted", admitted)
                .append();
        watch.accept(new Effect(e.lease(), e.holder(), e.token(), admitted));
        return admitted;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
