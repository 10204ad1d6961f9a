package upgrades;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** The usual traffic beside a case: 20 messages a second for another partner, which answers at its usual pace. */
final class Load {
    static final int DESTINATION = 58;
    private static final int CLIENTS = 10;
    private static final long INTERVAL_MS = 500;
    private static final long REMAINING_MS = 16_000;
    private static final long CALL_MS = 210;

    private final Record record;
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger taken = new AtomicInteger();

    Load(Record record) {
        this.record = record;
    }

    static Partner partner() throws IOException {
        return new Partner("s-7c01d2e3", DESTINATION, (request, socket) -> {
            Thread.sleep(CALL_MS);
            return Http.response("200 OK", "", "");
        });
    }

    void start(String address) {
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Http.thread(() -> {
                Platform.pause(client * INTERVAL_MS / CLIENTS);
                while (true) {
                    handIn(address, String.format("ab%02x%012x", client, asked.incrementAndGet()));
                    Platform.pause(INTERVAL_MS);
                }
            });
        }
    }

    private void handIn(String address, String id) {
        try {
            boolean accepted = Client.handIn(address, id, "status-update", DESTINATION, REMAINING_MS, null).taken();
            taken.addAndGet(accepted ? 1 : 0);
        } catch (IOException e) {
            // refused while the listener passes to the newer process; not judged
        }
    }

    /** Records how much there was beside so many messages for the partner in trouble. */
    void report(int others) throws IOException {
        int all = asked.get() + others;
        record.line("usual: %d messages, %d taken on; the partner in trouble got %.1f%% of all", asked.get(), taken.get(), 100.0 * others / all);
        if (others > 0.24 * all) {
            throw new IOException("the partner in trouble had more than 24% of the traffic");
        }
    }
}
