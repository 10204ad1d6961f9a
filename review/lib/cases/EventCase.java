package cases;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * rent-payments as events, from senders that give up early and ask again with the same identity on another of the
 * connections that they keep; and an upgrade. The partner answers each at its usual pace.
 */
final class EventCase implements Main.Case {
    private static final int SENDERS = 8;
    private static final int LINKS = 3;
    private static final long DESTINATION = 7;
    private static final int PATIENCE_MS = 120;
    private static final int LAST_PATIENCE_MS = 30_000;
    private static final long PACE_MS = 220;

    /** One event: what its sender was told, and what became of it. */
    private static final class Event {
        final String id;
        volatile String answer = "none";
        volatile long answeredMs;
        volatile long executedMs = -1;
        volatile int calls;

        Event(String id) {
            this.id = id;
        }
    }

    private final Map<String, Event> events = new ConcurrentHashMap<>();
    private Record record;
    private volatile boolean ended;

    @Override
    public List<String> run(Record newRecord, boolean trouble, Path folder) throws Exception {
        record = newRecord;
        int port = Dispatcher.freePort();
        Path settingsFile = Files.writeString(
                folder.resolve("events.ini"), "[events]\nlisten = 127.0.0.1:" + port + "\nremember_s = 3600\n");
        try (Platform platform = new Platform(record);
                Http.Server partner = partner()) {
            platform.list(Platform.entry("s-bank", partner.address(), "wdh-1", "bank", DESTINATION, 200.0));
            try (Dispatcher dispatcher =
                    new Dispatcher(record, folder, platform, Settings.windhoek(), settingsFile.toString())) {
                Dispatcher.Run first = dispatcher.start();
                first.awaitReady();
                CountDownLatch senders = new CountDownLatch(SENDERS);
                for (int i = 0; i < SENDERS; i++) {
                    int sender = i;
                    Http.start(() -> {
                        send("127.0.0.1:" + port, sender);
                        senders.countDown();
                    });
                }
                Thread.sleep(2_000);
                if (trouble) {
                    dispatcher.start().awaitReady();
                    first.terminate();
                } else {
                    Thread.sleep(1_000);
                }
                Thread.sleep(4_000);
                ended = true;
                senders.await();
                Thread.sleep(1_000);
                return judge();
            }
        }
    }

    /** A bank: 2xx for each event, after the time that it takes. */
    private Http.Server partner() throws IOException {
        return new Http.Server(0, (request, connection) -> {
            if (!request.start().startsWith("POST /events ")) {
                return Http.response(404, "", "");
            }
            Event event = events.get(request.header("ce-id"));
            event.calls++;
            record.line("call     %s", event.id);
            Thread.sleep(PACE_MS);
            event.executedMs = record.ms();
            record.line("executed %s", event.id);
            return Http.response(200, "", "");
        });
    }

    /** One sender: one event after the other, each until it has an answer. */
    private void send(String address, int sender) {
        ArrayDeque<Http.Link> links = new ArrayDeque<>();
        for (int i = 0; !ended; i++) {
            Event event = new Event("rent-" + sender + "-" + i);
            events.put(event.id, event);
            try {
                while (event.answer.equals("none")) {
                    ask(address, links, event);
                }
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
        links.forEach(EventCase::close);
    }

    private void ask(String address, ArrayDeque<Http.Link> links, Event event) throws InterruptedException {
        Http.Link link;
        try {
            while (links.size() < LINKS) {
                links.add(new Http.Link(address, 500));
            }
        } catch (IOException e) {
            Thread.sleep(20); // nobody listens just now: what is open is used
        }
        link = links.poll();
        if (link == null) {
            return;
        }
        try {
            Http.Message answer = link.ask(
                    "POST /events HTTP/1.1\r\nce-specversion: 1.0\r\nce-id: " + event.id
                            + "\r\nce-source: /erongo/ledger\r\nce-type: rent-payment\r\nce-tenant: erongo-lettings\r\n"
                            + "ce-destination: " + DESTINATION + "\r\nContent-Type: application/json\r\n",
                    "{\"amount\":850}".getBytes(StandardCharsets.UTF_8),
                    ended ? LAST_PATIENCE_MS : PATIENCE_MS);
            if (answer == null) {
                record.line("sender   %s: its connection ended", event.id);
                close(link);
                return;
            }
            event.answeredMs = record.ms();
            event.answer = answer.code() + " " + answer.text().strip();
            record.line("sender   %s -> %s", event.id, event.answer);
            links.add(link);
        } catch (SocketTimeoutException e) {
            record.line("sender   %s gives up for now", event.id);
            close(link);
        } catch (IOException e) {
            record.line("sender   %s: %s", event.id, e);
            close(link);
        }
    }

    private static void close(Http.Link link) {
        try {
            link.close();
        } catch (IOException e) {
            // it is gone
        }
    }

    private List<String> judge() throws IOException {
        List<String> broken = new ArrayList<>();
        int refused = 0;
        for (Event event : events.values()) {
            if (!event.answer.contains("\"status\":\"refused\"")) {
                continue;
            }
            refused++;
            if (event.executedMs >= 0) {
                broken.add("refused: " + event.id + " was answered " + event.answer + " at " + event.answeredMs
                        + " ms and executed at " + event.executedMs + " ms");
            }
        }
        long executed = events.values().stream().filter(event -> event.executedMs >= 0).count();
        record.line("counted  %d events, %d executed, %d refused, %d of them executed", events.size(), executed, refused, broken.size());
        if (executed < SENDERS) {
            throw new IOException("too few events were executed");
        }
        return broken;
    }
}
