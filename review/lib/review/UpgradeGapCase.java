package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A partner takes calls and answers none, so that the messages for it have to end by a notice. The time of some of them is up
 * while a newer process takes over.
 */
final class UpgradeGapCase extends Case {
    private static final int DESTINATION = 57;
    private static final List<String> CLASSES = List.of("status-update", "job-order", "rent-payment");

    /** By PROTOCOL: 300 ms, and every time limit is 50 ms longer on sockets. */
    private static final double NOTICE_SLACK_MS = 350;

    /** By PROTOCOL no notice is overdue from a SIGTERM on until so long after the dispatcher is ready; here it is ready before. */
    private static final double EXCUSED_AFTER_TERM_MS = 1_500;

    private static final int MESSAGES = 120;
    private static final long BETWEEN_MESSAGES_MS = 10;

    /** From the begin on, the time of the first message is up after this, and of each further one a little later. */
    private static final double FIRST_DEADLINE_MS = 2_000;

    private static final double BETWEEN_DEADLINES_MS = 35;

    private Dispatcher dispatcher;
    private double terminatedAt = Double.POSITIVE_INFINITY;

    private UpgradeGapCase(Path recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String[] arguments) throws IOException {
        new UpgradeGapCase(Path.of(arguments[0])).run();
    }

    @Override
    List<String> play() throws IOException, InterruptedException {
        Partner partner = new Partner("s-5be2a07c", DESTINATION, this::hang);
        Map<String, Double> noticedAt = Platform.notices();
        Platform platform = new Platform("one", List.of(partner), noticedAt, record);
        dispatcher = new Dispatcher(folder, Settings.operator(folder, Settings.RULES), record);
        dispatcher.configure(platform);
        Dispatcher.Run old = dispatcher.start(platform);
        old.awaitYes(30_000);
        Thread.sleep(2_000);
        List<Client.HandedIn> messages = handInAll(Record.now());
        if (trouble) {
            Dispatcher.Run next = dispatcher.start(platform);
            next.awaitYes(6_000);
            terminatedAt = Record.now();
            old.terminate();
        }
        double lastDeadline = messages.get(messages.size() - 1).deadline();
        Thread.sleep((long) (lastDeadline + 3_000 - Record.now()));
        return lost(messages, noticedAt);
    }

    private List<Client.HandedIn> handInAll(double begin) throws IOException, InterruptedException {
        List<Client.HandedIn> messages = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            double deadline = begin + FIRST_DEADLINE_MS + i * BETWEEN_DEADLINES_MS;
            String id = String.format("9b1f03aa5c7e%04x", i);
            messages.add(Client.handIn(
                    dispatcher.listenAddress(),
                    id,
                    CLASSES.get(i % CLASSES.size()),
                    DESTINATION,
                    (long) (deadline - Record.now()),
                    record));
            Thread.sleep(BETWEEN_MESSAGES_MS);
        }
        return messages;
    }

    /** Nothing is ever delivered here, so each message that was taken on ends by a notice. */
    private List<String> lost(List<Client.HandedIn> messages, Map<String, Double> noticedAt) throws IOException {
        List<String> broken = new ArrayList<>();
        int taken = 0;
        for (Client.HandedIn message : messages) {
            if (!message.taken()) {
                continue;
            }
            taken++;
            Double at = noticedAt.get(message.id());
            double overdueAt = message.deadline() + NOTICE_SLACK_MS;
            boolean excused = overdueAt >= terminatedAt && overdueAt <= terminatedAt + EXCUSED_AFTER_TERM_MS;
            if (!excused && (at == null || at > overdueAt)) {
                String when = at == null ? "never" : String.format("%.0f ms after its time was up", at - message.deadline());
                broken.add(message.messageClass() + " " + message.id() + " is lost: its notice came " + when);
            }
        }
        record.line("%d messages were taken on, %d of them are lost", taken, broken.size());
        if (taken < MESSAGES / 2) {
            throw new IOException("only " + taken + " messages were taken on");
        }
        return broken;
    }

    private String hang(Http.Message request, Socket socket) {
        record.line("partner: takes %s and does not answer", request.headers.get("X-Txn"));
        return null;
    }

    @Override
    void end() throws IOException {
        if (dispatcher != null) {
            dispatcher.killAll();
            dispatcher.recordLogs();
        }
    }
}
