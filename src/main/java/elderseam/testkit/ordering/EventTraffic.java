package elderseam.testkit.ordering;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Senders of once-only CloudEvents who give up early and ask again with the same identity, and the endpoint that executes the
 * events. Checks that an event takes effect at most once, that one which was refused never does, and that each gets its
 * outcome. Thread-safe once started.
 */
final class EventTraffic implements AutoCloseable {
    private static final int DESTINATION = 99;
    private static final String EVENT_TYPE = "free-once";
    private static final int CONNECT_TIMEOUT_MS = 400;
    private static final int MIN_PATIENCE_MS = 120;
    private static final int MAX_PATIENCE_MS = 400;
    private static final int MIN_PAUSE_MS = 60;
    private static final int MAX_PAUSE_MS = 310;
    private static final int MAX_WORK_MS = 1_500;

    /** An event's class has 8 s; a restart and the longest pause come on top. */
    private static final long OUTCOME_LIMIT_NS = TimeUnit.SECONDS.toNanos(20);

    private static final String BODY = "pay";

    /** What became of one event. */
    private static final class Event {
        int effects;
        boolean refused;
        boolean delivered;
        boolean answered;
    }

    private final InetSocketAddress dispatcher;
    private final SplittableRandom random;
    private final LoopbackServer endpoint;
    private final Map<String, Event> events = new ConcurrentHashMap<>();
    private final List<Thread> senders = new ArrayList<>();
    private volatile boolean stopped;

    /**
     * Opens the endpoint.
     *
     * @param dispatcher where it listens for events
     * @param random used by many threads in an order of their own, under this object's lock
     */
    EventTraffic(InetAddress address, InetSocketAddress dispatcher, SplittableRandom random) throws IOException {
        this.dispatcher = dispatcher;
        this.random = random;
        this.endpoint = new LoopbackServer(address, this::serve);
    }

    /** The endpoint's address as {@code HOST:PORT}. */
    String address() {
        return endpoint.address();
    }

    /** The destination that the endpoint serves. */
    static int destination() {
        return DESTINATION;
    }

    /** Starts that many senders. */
    void start(int count) {
        for (int i = 0; i < count; i++) {
            String name = "e" + i;
            Thread thread = new Thread(() -> send(name), "event-sender");
            thread.setDaemon(true);
            senders.add(thread);
            thread.start();
        }
    }

    /** Lets each sender get the outcome of its event, and waits for that. */
    void finish() throws InterruptedException {
        stopped = true;
        for (Thread sender : senders) {
            sender.join();
        }
    }

    /** How many events got an outcome. */
    int answered() {
        return (int) events.values().stream().filter(event -> event.answered).count();
    }

    /** What broke a rule; after {@link #finish}, once calls have ended. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        new TreeMap<>(events).forEach((id, event) -> {
            synchronized (event) {
                if (event.effects > 1) {
                    violations.add("event " + id + " took effect " + event.effects + " times");
                }
                if (event.refused && event.effects > 0) {
                    violations.add("event " + id + " was refused and took effect");
                }
                if (event.delivered && event.effects == 0) {
                    violations.add("event " + id + " was answered as delivered and took no effect");
                }
                if (!event.answered) {
                    violations.add("event " + id + " was never answered");
                }
            }
        });
        return violations;
    }

    private void send(String name) {
        try {
            for (int i = 0; !stopped; i++) {
                Event event = new Event();
                String id = name + "-" + i;
                events.put(id, event);
                long limit = System.nanoTime() + OUTCOME_LIMIT_NS;
                while (!ask(id, event) && System.nanoTime() < limit) {
                    Thread.sleep(next(MIN_PAUSE_MS, MAX_PAUSE_MS));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks once on a connection of its own; whether the event has its outcome now. */
    private boolean ask(String id, Event event) {
        try (HttpConnection connection = HttpConnection.connect(dispatcher, CONNECT_TIMEOUT_MS)) {
            connection.write(request(id));
            HttpConnection.Message answer = connection.read(next(MIN_PATIENCE_MS, MAX_PATIENCE_MS));
            return answer != null && onAnswer(event, answer.status());
        } catch (IOException e) { // nobody there, no answer in time, or the connection broke: nothing is known
            return false;
        }
    }

    private static boolean onAnswer(Event event, int status) {
        synchronized (event) {
            event.delivered = status == 200;
            event.refused = status == 503;
            event.answered = event.delivered || event.refused || status == 502;
            return event.answered;
        }
    }

    private static String request(String id) {
        return "POST /events HTTP/1.1\r\nHost: t\r\nce-specversion: 1.0\r\nce-type: " + EVENT_TYPE
                + "\r\nce-source: /trial\r\nce-id: " + id + "\r\nce-destination: " + DESTINATION
                + "\r\nContent-Type: text/plain\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY;
    }

    /** Each call takes effect, whether or not the dispatcher still waits for its answer. */
    private void serve(HttpConnection connection) throws IOException {
        for (HttpConnection.Message request = connection.read(0); request != null; request = connection.read(0)) {
            Event event = events.get(request.header("ce-id"));
            synchronized (event) {
                event.effects++;
            }
            if (connection.endsWithin(next(1, MAX_WORK_MS))) {
                return;
            }
            connection.write(HttpConnection.answer(200, "", ""));
        }
    }

    private synchronized int next(int min, int max) {
        return random.nextInt(min, max + 1);
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        endpoint.close();
    }
}
