package elderseam.testkit.ordering;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Plays one run: starts everything, carries out the signals in their order, lets the rest end, and checks the history. */
public final class OrderTrial implements AutoCloseable {
    private static final int LISTEN_PORT = 8443;
    private static final int EVENTS_PORT = 8444;
    /** Discovery moves at most so long after the newer process of an upgrade was started, ready or not. */
    private static final int MAX_MOVE_DELAY_MS = 1_500;

    /** SIGKILL comes so long after SIGTERM, where the process has not ended by itself. */
    private static final long TERM_GRACE_MS = 3_700;

    private static final long KEY_REST_MS = 100;
    /** No notification is overdue until so long after a process is ready. */
    private static final long READY_GRACE_MS = 1_500;

    private static final long SETTLE_MS = 8_000;
    private static final int HANDOVER_LIMIT_MS = 12_000;
    private static final int MAX_DOWN_MS = 700;
    private static final int MAX_PAUSE_MS = 600;
    private static final int ARRIVAL_MS = 50;
    private static final int MAX_GAP_MS = 900;
    private static final int HOUR_S = 3_600;
    private static final int MAX_SMALL_STEP_S = 10;

    /** What is done to the dispatcher. */
    public enum Action {
        /** SIGKILL, and a new process. */
        KILL,
        /** SIGTERM, SIGKILL after 3.7 s, and a new process. */
        TERMINATE,
        /** A second process takes over. */
        HAND_OVER,
        /** SIGHUP. */
        HANG_UP,
        /** SIGSTOP and SIGCONT. */
        PAUSE,
        /** Idle clients connect and stay. */
        CROWD,
        /** The wall clock is stepped ahead by an hour; passed over where there is no C compiler, as the others. */
        STEP_CLOCK_AHEAD,
        /** The wall clock is stepped back by an hour. */
        STEP_CLOCK_BACK,
        /** The wall clock is stepped by some seconds, either way. */
        STEP_CLOCK_BY_SECONDS,
        /** A second process takes over; meanwhile discovery moves, and the older process gets SIGHUP, if it still lives. */
        HAND_OVER_AND_MOVE,
        /** SIGSTOP, clients that send whole messages and leave, and SIGCONT. */
        LEAVE_UNREAD,
        /** Clients stop within heads of many fields and within large bodies, and stay connected. */
        STALL_WITHIN_REQUESTS
    }

    /**
     * What a run came to.
     *
     * @param evidence what the log tells of the messages that broke a rule, and of stalls; empty if none did
     * @param waits that endpoints asked for
     * @param eventsAnswered events that got their outcome
     */
    public record Result(
            List<String> violations,
            List<String> evidence,
            int handedIn,
            int accepted,
            int delivered,
            int notified,
            List<OrderHistory.Wait> waits,
            int eventsAnswered) {
        @Override
        public String toString() {
            return "handed_in=" + handedIn + " accepted=" + accepted + " delivered=" + delivered + " notified="
                    + notified + " waits=" + waits.size() + " events=" + eventsAnswered + " violations="
                    + violations.size();
        }
    }

    /** Actions during which a process that lives on does not act for a while. */
    private static final Set<Action> UNREADY_ACTIONS =
            EnumSet.of(Action.PAUSE, Action.LEAVE_UNREAD, Action.HAND_OVER, Action.HAND_OVER_AND_MOVE);

    private static final int MAX_ADDRESS_BYTE = 250;

    /** Of this process; each has an address of its own, since trials of one seed may run side by side. */
    private static final AtomicInteger TRIALS = new AtomicInteger();

    private final SplittableRandom random;
    private final OrderHistory history = new OrderHistory();
    private final List<AutoCloseable> open = new ArrayList<>();
    private final List<TrialClient> clients = new ArrayList<>();
    private final List<Thread> clientThreads = new ArrayList<>();
    private final InetSocketAddress dispatcherAddress;
    private final Map<String, String> variables;
    private final Optional<SteppedClock> clock;
    private final Path settingsFile;
    private final long start = System.nanoTime();
    private final RestartWindows restarts = new RestartWindows();
    private final ProcessLog log;
    private final MovingPlatform platforms;
    private final AbandoningClients abandoningClients;
    private final EventTraffic events; // null where there are no senders
    private ServedProcess process;
    private ServedProcess older; // of the last upgrade; null before

    private OrderTrial(Path folder, long seed, TrialLoad load, TrialSurroundings surroundings)
            throws IOException, InterruptedException {
        this.random = new SplittableRandom(seed);
        log = new ProcessLog(folder.resolve("dispatcher.log"), start);
        open.add(log);
        open.add(new ObserverStalls(log));
        InetAddress own = ownAddress(random.nextInt(MAX_ADDRESS_BYTE));
        dispatcherAddress = new InetSocketAddress(own, LISTEN_PORT);
        abandoningClients = new AbandoningClients(dispatcherAddress);
        CopiedAnswers copies = startCopies(surroundings, seed);
        platforms = new MovingPlatform(own, history, surroundings, copies, folder.resolve("config.json"));
        open.add(platforms);
        platforms.open(random.split());
        InetSocketAddress eventsAddress = new InetSocketAddress(own, EVENTS_PORT);
        events = load.eventSenders() == 0 ? null : new EventTraffic(own, eventsAddress, new SplittableRandom(seed));
        List<String> entries = startEndpoints(own, surroundings, copies, new SplittableRandom(~seed));
        String settings = "";
        if (events != null) {
            open.add(events);
            entries.add(listEntry("events", EventTraffic.destination(), events.address()));
            settings = "[events]\nlisten = " + own.getHostAddress() + ":" + EVENTS_PORT + "\nremember_s = 600\n";
        }
        settingsFile = Files.writeString(folder.resolve("elderseam.ini"), settings);
        platforms.setEndpoints(entries);
        clock = SteppedClock.build(folder);
        variables = new HashMap<>(Map.of(
                "RELAY_NAME",
                "n1",
                "RELAY_LISTEN",
                own.getHostAddress() + ":" + LISTEN_PORT,
                "RELAY_DISCOVERY",
                platforms.address(),
                "RELAY_STATE",
                folder.resolve("state").toString(),
                "RELAY_CONFIG",
                platforms.configurationFile().toString(),
                "RELAY_CONTROL",
                own.getHostAddress() + ":0"));
        clock.ifPresent(stepped -> variables.putAll(stepped.environment()));
    }

    /** The address of this trial alone. */
    private static InetAddress ownAddress(int drawn) throws IOException {
        return InetAddress.getByAddress(new byte[] {
            127,
            (byte) (100 + ProcessHandle.current().pid() % 100),
            (byte) drawn,
            (byte) (1 + TRIALS.getAndIncrement() % MAX_ADDRESS_BYTE)
        });
    }

    private CopiedAnswers startCopies(TrialSurroundings surroundings, long seed) {
        CopiedAnswers copies = new CopiedAnswers(surroundings.copies(), new SplittableRandom(seed));
        open.add(copies);
        return copies;
    }

    /** Starts the endpoints; their entries in the list. */
    private List<String> startEndpoints(
            InetAddress address, TrialSurroundings surroundings, CopiedAnswers copies, SplittableRandom forRejections)
            throws IOException {
        List<String> entries = new ArrayList<>();
        SpoiltRejections rejections = new SpoiltRejections(surroundings.rejections(), forRejections);
        for (int i = 0; i < surroundings.endpoints(); i++) {
            int destination = 1 + i % surroundings.destinations();
            int breaker = surroundings.destinations() > 1 ? destination : i;
            RecordingEndpoint endpoint =
                    new RecordingEndpoint(address, breaker, history, random.split(), surroundings, copies, rejections);
            open.add(endpoint);
            entries.add(listEntry("s" + i, destination, endpoint.address()));
        }
        return entries;
    }

    private static String listEntry(String id, int destination, String address) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"z\",\"kind\":\"k\",\"cell\":"
                + destination + ",\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}";
    }

    /**
     * Plays a run.
     *
     * @param folder an empty one, for state and log
     * @param actions carried out one after another while clients hand in messages
     */
    public static Result play(
            Path folder, long seed, TrialLoad load, TrialSurroundings surroundings, List<Action> actions)
            throws IOException, InterruptedException {
        try (OrderTrial trial = new OrderTrial(folder, seed, load, surroundings)) {
            trial.process = trial.startProcess();
            ServedProcess.awaitReady(trial.dispatcherAddress);
            trial.startClients(load, surroundings.destinations());
            for (Action action : actions) {
                Thread.sleep(trial.random.nextInt(1, MAX_GAP_MS));
                trial.carryOut(action);
            }
            if (!actions.isEmpty()) {
                trial.clients.forEach(TrialClient::stop);
            }
            trial.finish(load);
            return trial.result();
        }
    }

    private ServedProcess startProcess() throws IOException {
        return ServedProcess.start(log, settingsFile, variables);
    }

    private void startClients(TrialLoad load, int destinations) {
        if (events != null) {
            events.start(load.eventSenders());
        }
        for (int i = 0; i < load.keys(); i++) {
            TrialClass messageClass = i % 2 == 0 ? TrialClass.ORDERED_ONCE : TrialClass.ORDERED_REPEATABLE;
            startClient("k" + i, messageClass, 1 + i % destinations, load);
        }
        for (int i = 0; i < load.unorderedClients(); i++) {
            TrialClass messageClass = i % 2 == 0 ? TrialClass.ONCE : TrialClass.REPEATABLE;
            startClient("u" + i, messageClass, 1 + i / 2 % destinations, load);
        }
    }

    private void startClient(String name, TrialClass messageClass, int destination, TrialLoad load) {
        TrialClient client =
                new TrialClient(name, messageClass, destination, dispatcherAddress, history, random.split(), load);
        clients.add(client);
        Thread thread = new Thread(client, "trial-client");
        thread.setDaemon(true);
        clientThreads.add(thread);
        thread.start();
    }

    private void carryOut(Action action) throws IOException, InterruptedException {
        long signalled = System.nanoTime();
        log.append("action " + action);
        boolean restarted = doTo(action);
        if (restarted || UNREADY_ACTIONS.contains(action)) {
            restarts.add(signalled, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_GRACE_MS));
        }
    }

    /** Does it; whether the process ended and another one was started. */
    private boolean doTo(Action action) throws IOException, InterruptedException {
        switch (action) {
            case KILL -> process.kill();
            case TERMINATE -> {
                process.signal("TERM");
                if (!process.endsWithin(TERM_GRACE_MS)) {
                    process.kill();
                }
            }
            case HAND_OVER -> handOver(() -> {});
            case HAND_OVER_AND_MOVE -> handOver(this::moveDiscovery);
            case HANG_UP -> process.signal("HUP");
            case PAUSE -> {
                process.signal("STOP");
                Thread.sleep(random.nextInt(1, MAX_PAUSE_MS));
                process.signal("CONT");
            }
            case CROWD -> abandoningClients.connect(open);
            case LEAVE_UNREAD -> {
                process.signal("STOP");
                abandoningClients.sendAndLeave();
                Thread.sleep(random.nextInt(ARRIVAL_MS, MAX_PAUSE_MS)); // until all of it has arrived
                process.signal("CONT");
            }
            case STALL_WITHIN_REQUESTS -> abandoningClients.stall(open);
            case STEP_CLOCK_AHEAD -> stepClock(HOUR_S);
            case STEP_CLOCK_BACK -> stepClock(-HOUR_S);
            case STEP_CLOCK_BY_SECONDS -> stepClock(random.nextInt(-MAX_SMALL_STEP_S, MAX_SMALL_STEP_S + 1));
        }
        if (process.isAlive()) {
            return false;
        }
        restarts.addEnd(System.nanoTime());
        Thread.sleep(random.nextInt(1, MAX_DOWN_MS));
        process = startProcess();
        ServedProcess.awaitReady(dispatcherAddress);
        return true;
    }

    /** Something that is done between two steps of an action. */
    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    /** The new configuration is there before the signal. */
    private void moveDiscovery() throws IOException, InterruptedException {
        Thread.sleep(random.nextInt(MAX_MOVE_DELAY_MS));
        log.append("discovery moves");
        platforms.move(random.split());
        older.signal("HUP");
    }

    private void handOver(Step meanwhile) throws IOException, InterruptedException {
        older = process;
        process = startProcess();
        meanwhile.run();
        if (!older.endsWithin(HANDOVER_LIMIT_MS)) {
            older.kill();
        }
        ServedProcess.awaitReady(dispatcherAddress);
    }

    private void stepClock(long seconds) throws IOException {
        if (clock.isPresent()) {
            clock.get().step(seconds);
        }
    }

    /** Waits until the clients are through, and until all that was accepted is over. */
    private void finish(TrialLoad load) throws InterruptedException {
        for (Thread thread : clientThreads) {
            thread.join();
        }
        if (events != null) {
            events.finish();
        }
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(load.maxRemainingMs() + SETTLE_MS);
        while (!history.isSettled() && System.nanoTime() < deadline) {
            Thread.sleep(50);
        }
        Thread.sleep(300); // calls and notifications that should not come any more
    }

    private Result result() {
        OrderChecker checker = new OrderChecker(TimeUnit.MILLISECONDS.toNanos(KEY_REST_MS), restarts, start);
        Map<String, Integer> counts = new HashMap<>();
        history.messagesByKey()
                .values()
                .forEach(messages -> messages.forEach(message -> {
                    counts.merge("handed in", 1, Integer::sum);
                    if (message.accepted) {
                        counts.merge("accepted", 1, Integer::sum);
                        boolean notified = message.notifiedAt != OrderHistory.NEVER;
                        counts.merge(
                                notified ? "notified" : "delivered",
                                message.overAt() == OrderHistory.NEVER ? 0 : 1,
                                Integer::sum);
                    }
                }));
        List<String> violations = checker.check(history);
        violations.addAll(new WaitChecker(restarts, start).check(history));
        if (events != null) {
            violations.addAll(events.violations());
        }
        List<String> evidence = violations.isEmpty() ? List.of() : log.linesAbout(checker.offendingMessages());
        return new Result(
                violations,
                evidence,
                counts.getOrDefault("handed in", 0),
                counts.getOrDefault("accepted", 0),
                counts.getOrDefault("delivered", 0),
                counts.getOrDefault("notified", 0),
                history.waits(),
                events == null ? 0 : events.answered());
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.kill();
        }
        for (AutoCloseable each : open) {
            try {
                each.close();
            } catch (IOException e) {
                throw e;
            } catch (Exception e) { // none of these throws another one
                throw new IllegalStateException(e);
            }
        }
    }
}
