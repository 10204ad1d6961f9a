package upgrades;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A job-order's first call is out while the dispatcher is upgraded, and ends as an error afterwards. The partner is shut then,
 * and tells with its refusal when it opens: a little after it has forgotten the key. A call that comes then runs a second time.
 */
final class KeyWindowCase extends Case {
    private static final int DESTINATION = 57;
    private static final double WINDOW_MS = 7_500;

    /** By PROTOCOL every time limit is 50 ms longer on sockets. */
    private static final double SOCKET_SLACK_MS = 50;

    /** The first call is answered so long after it has come: 560 ms at usual pace, and 7.1 times slower. */
    private static final long FIRST_ANSWER_AFTER_MS = 4_000;

    /** With the time until that answer it is slow for 6 s. */
    private static final long SLOW_BEFORE_MS = 2_000;

    /** From the first call on: the partner shuts and opens again, 6.1 s later, just after it has forgotten the key. */
    private static final double SHUT_AFTER_MS = 1_500;

    private static final double OPEN_AFTER_MS = WINDOW_MS + 120;

    private final List<Double> calls = new ArrayList<>(); // when they came; guarded by itself
    private final List<String> broken = new ArrayList<>();
    private Dispatcher dispatcher;

    private KeyWindowCase(Path recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String[] arguments) throws IOException {
        new KeyWindowCase(Path.of(arguments[0])).run();
    }

    @Override
    List<String> play() throws IOException, InterruptedException {
        Partner partner = new Partner("s-5be2a07c", DESTINATION, this::call);
        Platform platform = new Platform("one", List.of(partner, Load.partner()), Platform.notices(), record);
        dispatcher = new Dispatcher(folder, Settings.operator(folder, Settings.RULES), record);
        dispatcher.configure(platform);
        Dispatcher.Run old = dispatcher.start(platform);
        old.awaitYes(30_000);
        Load load = new Load(record);
        load.start(dispatcher.listenAddress());
        record.line("partner: slow from now on");
        Thread.sleep(SLOW_BEFORE_MS);
        Client.HandedIn order =
                Client.handIn(dispatcher.listenAddress(), "9b1f03aa5c7e2d41", "job-order", DESTINATION, 20_000, record);
        if (!order.taken()) {
            throw new IOException("not taken on");
        }
        if (trouble) {
            Dispatcher.Run next = dispatcher.start(platform);
            next.awaitYes(6_000);
            old.terminate();
        }
        Thread.sleep(11_000);
        load.report(1);
        synchronized (calls) {
            if (calls.size() < 2) {
                throw new IOException("the message was called " + calls.size() + " times, not twice at least");
            }
            return List.copyOf(broken);
        }
    }

    @Override
    void end() throws IOException {
        if (dispatcher != null) {
            dispatcher.killAll();
            dispatcher.recordLogs();
        }
    }

    private String call(Http.Message request, Socket socket) throws InterruptedException {
        int number;
        double sinceFirst;
        synchronized (calls) {
            calls.add(request.completeAt);
            number = calls.size();
            sinceFirst = request.completeAt - calls.get(0);
        }
        record.line("partner: call %d of %s comes, %.1f ms after the first", number, request.headers.get("X-Txn"), sinceFirst);
        if (number == 1) {
            Thread.sleep(FIRST_ANSWER_AFTER_MS);
            record.line("partner: call 1 has run, and is answered 500");
            return Http.response("500 Internal Server Error", "", "");
        }
        if (sinceFirst > WINDOW_MS + SOCKET_SLACK_MS) {
            record.line("partner: the key is forgotten, the job order RUNS A SECOND TIME, and is answered 200");
            synchronized (calls) {
                broken.add(String.format("a job order that may have run was sent again %.0f ms after its first send;"
                        + " repeats are dropped for %.0f ms", sinceFirst, WINDOW_MS));
            }
            return Http.response("200 OK", "", "");
        }
        if (sinceFirst > SHUT_AFTER_MS && sinceFirst < OPEN_AFTER_MS) {
            long waitMs = (long) Math.ceil(OPEN_AFTER_MS - (Record.now() - calls.get(0)));
            record.line("partner: shut, answered 429 with a wait of %d ms", waitMs);
            return Http.response("429 Too Many Requests", "X-RateLimit-Wait-Ms: " + waitMs + "\r\n", "");
        }
        record.line("partner: a repeat, dropped, and answered 200");
        return Http.response("200 OK", "", "");
    }
}
