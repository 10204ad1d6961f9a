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
 * A resource that holders of leases act on, with a JSON line an act, which it admits or refuses by the act's fencing token. One
 * act takes effect at a time, and the history has each at the instant at which it did. Thread-safe.
 */
final class FencedStore implements Closeable {
    /**
     * An act.
     *
     * @param holder who acted, as MEMBER/INCARNATION
     * @param token the fencing token that it came with
     * @param admitted whether it took effect
     */
    record Act(String lease, String holder, long token, boolean admitted) {}

    private static final int BACKLOG = 128;
    private static final byte[] LOOPBACK = {127, 0, 0, 1};

    private final ObjectMapper json = new ObjectMapper();
    private final FencingTokenCheck fence = new FencingTokenCheck();
    private final FaultTestHistory history;
    private final boolean fenced;
    private final Consumer<Act> onAct;
    private final ServerSocket server;

    /**
     * Listens on a free port of the loopback.
     *
     * @param fenced whether acts with an older token are refused; false is a planted fault
     * @param onAct is given each act once it is decided, on a connection's thread
     */
    FencedStore(FaultTestHistory history, boolean fenced, Consumer<Act> onAct) throws IOException {
        this.history = history;
        this.fenced = fenced;
        this.onAct = onAct;
        server = new ServerSocket(0, BACKLOG, InetAddress.getByAddress(LOOPBACK));
        start(this::accept);
    }

    /** Where it listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static void start(Runnable run) {
        Thread thread = new Thread(run, "store");
        thread.setDaemon(true);
        thread.start();
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
                boolean admitted = decide(json.readTree(line));
                String answer = json.writeValueAsString(Map.of("admitted", admitted)) + "\n";
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // the client is gone; its act has taken effect or not, as the history says
        }
    }

    private synchronized boolean decide(JsonNode request) {
        String lease = request.get("lease").asText();
        String holder = request.get("holder").asText();
        long token = request.get("token").asLong();
        boolean admitted = fence.admit(lease, token) || !fenced;
        history.event("effect")
                .with("lease", lease)
                .with("holder", holder)
                .with("token", token)
                .with("n", request.get("n").asLong())
                .with("admitted", admitted)
                .append();
        onAct.accept(new Act(lease, holder, token, admitted));
        return admitted;
    }

    /** Stops accepting connections. */
    @Override
    public void close() throws IOException {
        server.close();
    }
}
