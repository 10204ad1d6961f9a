package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform of a scenario: it serves discovery, whose watches wait for a change, and takes status notifications. */
final class FakePlatform implements AutoCloseable {
    private static final Pattern AFTER_VERSION = Pattern.compile("after=(\\d+)");
    private static final int POLLS_OF_A_WATCH = 100;

    private final InetAddress address = RawHttpSocket.own();
    private final UnaryOperator<String> listEntry;
    private final List<RawHttpSocket.Link> links = new ArrayList<>(); // guarded by itself
    private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> watchGapsMs = new LinkedBlockingQueue<>(); // from an answer to the next watch
    private final AtomicInteger notificationsToReject = new AtomicInteger();
    private volatile EndpointListUpdates updates = new EndpointListUpdates();
    private final Map<Integer, Runnable> watchAnswers = new ConcurrentHashMap<>(); // by version: writes it once more
    private volatile long lastAnswerNs = System.nanoTime();
    private volatile boolean indented;
    private final Consumer<String> observer;
    private ServerSocket server;

    /**
     * Listens at an address of its own.
     *
     * @param listEntry makes the JSON of a list's entry from a change, {@code NAME STATE}
     * @param observer told in words what it sees
     */
    FakePlatform(UnaryOperator<String> listEntry, Consumer<String> observer) throws IOException {
        this.listEntry = listEntry;
        this.observer = observer;
        listen(0);
    }

    private void listen(int port) throws IOException {
        server = RawHttpSocket.listen(address, port, socket -> {
            RawHttpSocket.Link[] link = new RawHttpSocket.Link[1];
            synchronized (links) {
                link[0] = new RawHttpSocket.Link(socket, message -> answerInBackground(link, message), observer);
                links.add(link[0]);
            }
        });
    }

    /** Where it listens, as host:port. */
    String address() {
        return RawHttpSocket.address(server);
    }

    /** The notifications that came and were not expected yet, oldest first. */
    Collection<String> notifications() {
        return notifications;
    }

    /** Does one step of a scenario. */
    void step(String verb, String words) throws IOException, InterruptedException {
        switch (verb) {
            case "send" -> updates.add(words);
            case "deaf" -> notificationsToReject.set(Integer.parseInt(words));
            case "indent" -> indented = true;
            case "linked" ->
                assertEquals(Integer.parseInt(words), currentLinks().size(), "connections");
            case "close" -> resetConnections();
            case "move" -> move();
            case "repeat" -> watchAnswers.get(Integer.parseInt(words)).run();
            case "start" -> {
                listen(server.getLocalPort());
                lastAnswerNs = System.nanoTime(); // nobody could ask before
            }
            case "watched" -> {
                Long gapMs = watchGapsMs.poll(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS);
                assertTrue(gapMs != null && gapMs <= Long.parseLong(words), "next watch after " + gapMs + " ms");
            }
            case "expect" ->
                ScenarioMessages.assertContains(notifications.poll(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS), words);
            default -> ScenarioMessages.assertQuiet(notifications, words);
        }
    }

    private void resetConnections() throws IOException {
        server.close();
        for (RawHttpSocket.Link link : currentLinks()) {
            link.reset();
        }
    }

    private List<RawHttpSocket.Link> currentLinks() {
        synchronized (links) {
            return List.copyOf(links);
        }
    }

    /** Listens elsewhere, with a new list, and answers nothing more on the connections so far. */
    private void move() throws IOException {
        server.close();
        synchronized (links) {
            links.clear();
        }
        updates = new EndpointListUpdates();
        listen(0);
    }

    private void answerInBackground(RawHttpSocket.Link[] link, String message) {
        Thread thread = new Thread(() -> {
            try {
                RawHttpSocket.Link from;
                synchronized (links) { // until the link has been stored
                    from = link[0];
                    if (!links.contains(from)) {
                        return;
                    }
                }
                answer(from, message);
            } catch (IOException | InterruptedException e) {
                // the program has gone
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void answer(RawHttpSocket.Link link, String message) throws IOException, InterruptedException {
        if (message.startsWith("POST /status")) {
            answerNotification(link, message);
        } else {
            answerWatch(link, message);
        }
    }

    private void answerNotification(RawHttpSocket.Link link, String message) throws IOException {
        if (notificationsToReject.getAndDecrement() > 0) {
            link.write(RawHttpSocket.answer(503, "", ""));
            return;
        }
        String body = message.substring(message.indexOf("\r\n\r\n") + 4);
        body.lines().forEach(notifications::add);
        link.write("HTTP/1.1 204 x\r\n\r\n");
    }

    private void answerWatch(RawHttpSocket.Link link, String message) throws IOException, InterruptedException {
        watchGapsMs.add((System.nanoTime() - lastAnswerNs) / 1_000_000);
        EndpointListUpdates current = updates;
        Matcher after = AFTER_VERSION.matcher(message);
        int knownVersion = after.find() ? Integer.parseInt(after.group(1)) : 0;
        EndpointListUpdates.Update update =
                current.awaitAfter(knownVersion, link, knownVersion > 0 ? POLLS_OF_A_WATCH : 1);
        if (update == null || update.changes().contains(EndpointListUpdates.MUTE)) {
            return;
        }
        if (update.changes().contains(EndpointListUpdates.FAIL)) {
            link.reset();
            return;
        }
        String entries =
                String.join(",", update.changes().stream().map(listEntry).toList());
        String list = "{\"version\":" + update.version() + ",\"full\":false,\"servers\":[" + entries + "]}";
        String answer = RawHttpSocket.answer(200, "", indented ? indent(list) : list);
        watchAnswers.put(update.version(), () -> writeAgain(link, answer));
        link.write(answer);
        lastAnswerNs = System.nanoTime();
    }

    private static void writeAgain(RawHttpSocket.Link link, String answer) {
        try {
            link.write(answer);
        } catch (IOException e) {
            // the program has closed that connection
        }
    }

    private static String indent(String list) {
        return list.replaceAll("([{\\[]|,(?=[\"{]))", "$1\n\t ")
                .replace("\":", "\" : ")
                .replaceAll("([}\\]])", "\r\n  $1");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
