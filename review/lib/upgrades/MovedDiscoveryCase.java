package upgrades;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A new configuration moves discovery while an upgrade is under way: the newer process has read its configuration, and is not
 * ready yet, so that the signal goes to the older one. Messages that are handed in after the upgrade end by a notice.
 */
final class MovedDiscoveryCase extends Case {
    private static final int DESTINATION = 57;
    private static final List<String> CLASSES = List.of("status-update", "job-order", "rent-payment");

    /** By PROTOCOL: 300 ms, and every time limit is 50 ms longer on sockets. */
    private static final double NOTICE_SLACK_MS = 350;

    private static final int MESSAGES = 12;
    private static final long REMAINING_MS = 4_000;

    private Dispatcher dispatcher;

    private MovedDiscoveryCase(Path recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String[] arguments) throws IOException {
        new MovedDiscoveryCase(Path.of(arguments[0])).run();
    }

    @Override
    List<String> play() throws IOException, InterruptedException {
        Partner partner = new Partner("s-5be2a07c", DESTINATION, this::hang);
        Map<String, Double> noticedAt = Platform.notices();
        List<Partner> partners = List.of(partner, Load.partner());
        Platform first = new Platform("one", partners, noticedAt, record);
        Platform second = new Platform("two", partners, noticedAt, record);
        dispatcher = new Dispatcher(folder, Path.of("deploy/elderseam.ini"), record);
        dispatcher.configure(first);
        Dispatcher.Run old = dispatcher.start(first);
        old.awaitYes(30_000);
        Load load = new Load(record);
        load.start(dispatcher.listenAddress());
        Thread.sleep(3_000);
        Dispatcher.Run next = dispatcher.start(first);
        next.awaitLog("handover.warmup_started", 6_000);
        if (trouble) {
            dispatcher.configure(second);
            record.line("the configuration names platform two at %s", second.address());
            old.signal("HUP");
            first.moveAway();
        }
        next.awaitYes(6_000);
        old.terminate();
        Thread.sleep(6_000); // what discovery has to tell counts as told 4 s after the signal, and no notice is excused any more
        List<Client.HandedIn> messages = handInAll();
        load.report(messages.size());
        return lost(messages, noticedAt);
    }

    private List<Client.HandedIn> handInAll() throws IOException, InterruptedException {
        List<Client.HandedIn> messages = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            String id = String.format("9b1f03aa5c7e%04x", i);
            String messageClass = CLASSES.get(i % CLASSES.size());
            messages.add(Client.handIn(
                    dispatcher.listenAddress(), id, messageClass, DESTINATION, REMAINING_MS, record));
            Thread.sleep(50);
        }
        Thread.sleep(REMAINING_MS + 3_000);
        return messages;
    }

    /** Nothing is ever delivered here, so each message that was taken on ends by a notice. */
    private List<String> lost(List<Client.HandedIn> messages, Map<String, Double> noticedAt) throws IOException {
        List<String> broken = new ArrayList<>();
        int taken = 0;
        for (Client.HandedIn message : messages) {
            taken += message.taken() ? 1 : 0;
            Double at = noticedAt.get(message.id());
            if (message.taken() && (at == null || at > message.deadline() + NOTICE_SLACK_MS)) {
                broken.add(message.messageClass() + " " + message.id() + " is lost: its notice came "
                        + (at == null ? "never" : String.format("%.0f ms after its time was up", at - message.deadline())));
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
