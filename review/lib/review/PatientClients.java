package review;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Usual clients beside a case: each hands a message for destination 8 in at its dispatcher, again and again, and waits. */
final class PatientClients {
    private static final long DEADLINE_MS = 16_000;

    private final AtomicInteger handedIn = new AtomicInteger();
    private final AtomicInteger taken = new AtomicInteger();
    private volatile boolean ended;

    /** Starts so many clients, dealt out over the dispatchers; each hands in one message in each interval. */
    PatientClients(List<Dispatcher> dispatchers, int clients, long intervalMs) {
        for (int i = 0; i < clients; i++) {
            int client = i;
            String address = dispatchers.get(i % dispatchers.size()).address;
            Http.start(() -> handIn(address, client, intervalMs, client * intervalMs / clients));
        }
    }

    private void handIn(String address, int client, long intervalMs, long delayMs) {
        try {
            Thread.sleep(delayMs);
            for (int i = 0; !ended; i++) {
                long startNs = System.nanoTime();
                String id = "usual-" + client + "-" + i;
                Http.Message answer = Http.call(
                        address,
                        "POST /status-update HTTP/1.1\r\nX-Txn: " + id + "\r\nX-Lane: status-update\r\n"
                                + "X-Org: hangang-runners\r\nX-Remaining: " + DEADLINE_MS + "m\r\nX-Addressing: dest=8\r\n",
                        id.getBytes(StandardCharsets.UTF_8),
                        400);
                handedIn.incrementAndGet();
                if (answer != null && answer.code() / 100 == 2) {
                    taken.incrementAndGet();
                }
                Thread.sleep(Math.max(1, intervalMs - (System.nanoTime() - startNs) / 1_000_000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends them; what they did, in words. */
    String end() {
        ended = true;
        return handedIn + " messages of the usual clients handed in, " + taken + " taken on";
    }

    /** Their class. */
    static String service() {
        return Settings.service("status-update", "repeatable", "all", 3_000, DEADLINE_MS, 5_000);
    }

    /** Their partner's endpoint, of usual pace (a status-update takes 210 to 370 ms). */
    static Http.Server endpoint() throws java.io.IOException {
        return new Http.Server(0, (request, link) -> {
            if (!request.start().startsWith("POST /receive ")) {
                return Http.response(404, "", "");
            }
            Thread.sleep(210);
            return Http.response(200, "", "");
        });
    }
}
