package elderseam.fleet.selftest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import elderseam.fleet.lease.LeaseValidity;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * A rehearsal's acts, inside the program: while its tenure surely holds it acts on the store again and again, each time with
 * its token. An act is some work and then one line to the store; a stall that falls between the look at the tenure and that
 * line makes the late act which only the store's fence can refuse.
 */
public final class LeaseWorkload {
    private final ObjectMapper json = new ObjectMapper();
    private final InetSocketAddress store;
    private final String holder;
    private final Function<String, Optional<LeaseValidity>> tenure;
    private final long workNs;
    private final LongSupplier clock;
    private final FaultTestHistory history;
    private Socket socket;
    private BufferedReader answers;
    private long acts;

    /** {@code clock}: the member's monotonic nanoseconds, as its tenures are counted in. */
    public LeaseWorkload(
            InetSocketAddress store,
            String holder,
            List<String> leases,
            Function<String, Optional<LeaseValidity>> tenure,
            long workNs,
            LongSupplier clock,
            FaultTestHistory history) {
        this.store = store;
        this.holder = holder;
        this.tenure = tenure;
        this.workNs = workNs;
        this.clock = clock;
        this.history = history;
        Thread thread = new Thread(() -> run(leases), "rehearsed-acts");
        thread.setDaemon(true);
        thread.start();
    }

    private void run(List<String> leases) {
        while (true) {
            boolean acted = false;
            for (String lease : leases) {
                LeaseValidity t = tenure.apply(lease).orElse(null);
                long now = clock.getAsLong();
                if (t != null && t.mayAct(now, now + 2 * workNs)) { // the work, and as long again for the store
                    act(lease, t);
                    acted = true;
                }
            }
            if (!acted) {
                LockSupport.parkNanos(workNs / 2);
            }
        }
    }

    private void act(String lease, LeaseValidity t) {
        long n = ++acts;
        history.event("act")
                .with("lease", lease)
                .with("holder", holder)
                .with("token", t.token())
                .with("n", n)
                .append();
        LockSupport.parkNanos(workNs);
        try {
            if (socket == null) {
                socket = new Socket();
                socket.connect(store, left(t));
                answers = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            }
            socket.setSoTimeout(left(t));
            byte[] line = (json.writeValueAsString(Map.of("lease", lease, "holder", holder, "token", t.token(), "n", n))
                            + "\n")
                    .getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream().write(line);
            String answer = answers.readLine();
            if (answer == null) {
                throw new IOException("the store ended the connection");
            }
            JsonNode said = json.readTree(answer);
            history.event(said.get("admitted").asBoolean() ? "done" : "fenced")
                    .with("lease", lease)
                    .with("holder", holder)
                    .with("token", t.token())
                    .with("n", n)
                    .append();
        } catch (IOException e) { // whether it took effect is not known
            history.event("unsure")
                    .with("lease", lease)
                    .with("holder", holder)
                    .with("token", t.token())
                    .with("n", n)
                    .with("why", String.valueOf(e.getMessage()))
                    .append();
            drop();
        }
    }

    /** Milliseconds of the tenure that are left, at least one: a socket knows no deadline. */
    private int left(LeaseValidity t) {
        return (int) Math.max(1, (t.expiresAtNs() - clock.getAsLong()) / 1_000_000);
    }

    private void drop() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it is given up in any case
        }
        socket = null;
    }
}
