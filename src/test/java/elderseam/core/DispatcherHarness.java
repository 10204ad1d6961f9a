package elderseam.core;

import elderseam.policy.EndpointStatus;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.PolicySettings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Runs dispatchers on one journal folder, with one endpoint and without sockets: tests fire the timers and end the
 * attempts.
 */
final class DispatcherHarness implements EventLoop, AttemptSender {
    static final AttemptOutcome DELIVERED =
            new AttemptOutcome(AttemptOutcome.Progress.ANSWERED, AttemptOutcome.Status.DELIVERED, 0, 0, 0);
    static final AttemptOutcome NO_SLOT =
            new AttemptOutcome(AttemptOutcome.Progress.ANSWERED, AttemptOutcome.Status.NO_SLOT, 0, 0, 0);

    private static final byte FRONTEND = 0;
    private static final String ENDPOINT = "h";
    private static final long DESTINATION = 1;
    private static final int NO_TENANT = -1;
    private static final long JOURNAL_BYTES = 1_000_000;
    private static final long DEADLINE_NS = 9_000 * Clock.MILLISECOND_NS;

    final Clock clock = new Clock() {
        @Override
        public long now() {
            return super.now() + advancedNs;
        }

        @Override
        public long wallMs() {
            return super.wallMs() + advancedNs / MILLISECOND_NS;
        }
    };

    /** Tasks that are due later or after the next pass over the sockets. */
    final List<Runnable> timers = new ArrayList<>();

    /** Tasks that are due now. */
    final List<Runnable> dueTasks = new ArrayList<>();

    /** Listeners of all attempts so far, of all dispatchers. */
    final List<AttemptListener> attempts = new ArrayList<>();

    /** {@code ID OUTCOME} of each completed request, of all dispatchers. */
    final List<String> completed = new ArrayList<>();

    /** The message id of each attempt so far, in the order of {@link #attempts}. */
    final List<String> attemptIds = new ArrayList<>();

    /** The endpoint of each attempt so far, in the order of {@link #attempts}. */
    final List<String> attemptEndpoints = new ArrayList<>();

    boolean stalled;

    /** Thrown by the next attempt's sender; null: nothing is. */
    Throwable sendFailure;

    /** What the event loop was told to end the process for. */
    final List<Throwable> failures = new ArrayList<>();

    private final IdentityHashMap<Runnable, Long> dueTimes = new IdentityHashMap<>();
    private long advancedNs;
    RequestDispatcher dispatcher;
    private final Path folder;
    private final PolicySettings settings;

    DispatcherHarness(Path folder) throws IOException {
        this(folder, Map.of());
    }

    /** {@code changes}: settings that override or extend the defaults of this harness. */
    DispatcherHarness(Path folder, Map<String, String> changes) throws IOException {
        this.folder = folder;
        this.settings = settings(changes);
        dispatcher = newDispatcher();
        listEndpoint(dispatcher, ListUpdateKind.COMPLETE);
    }

    /** Creates a dispatcher on the same folder, as the next process would. */
    RequestDispatcher newDispatcher() throws IOException {
        return newDispatcher(newJournal());
    }

    /** Opens the journal of the folder, as another process would. */
    Journal newJournal() throws IOException {
        return new Journal(folder, JOURNAL_BYTES, clock);
    }

    RequestDispatcher newDispatcher(Journal journal) {
        RequestDispatcher created = new RequestDispatcher(settings, 1, journal, clock, this);
        created.registerFrontend(
                FRONTEND, (message, outcome) -> completed.add(message.id() + " " + outcome.kind()), this);
        return created;
    }

    private static PolicySettings settings(Map<String, String> changes) {
        Map<String, String> values = new HashMap<>(Map.of(
                "discovery", "ask",
                "extra.callSlots", "40",
                "limits.mostHeld", "64",
                "limits.maxAttempts", "3",
                "services.count", "1",
                "services.0.effect", "once",
                "services.0.targetNs", "2000000000",
                "services.0.giveUpNs", "9000000000"));
        values.putAll(changes);
        return new SettingsMap(values).toPolicySettings();
    }

    static void listEndpoint(RequestDispatcher target, ListUpdateKind kind) {
        target.updateEndpoints(kind, List.of(endpoint(EndpointStatus.READY)));
    }

    static ListedEndpoint endpoint(EndpointStatus status) {
        return new ListedEndpoint(ENDPOINT, DESTINATION, 0, 0, status, 100);
    }

    Optional<FinalOutcome> submit(String id) {
        return submit(id, DESTINATION);
    }

    Optional<FinalOutcome> submitWithBody(String id, int bodyBytes) {
        long deadline = clock.now() + DEADLINE_NS;
        return dispatcher.submit(new ActiveRequest.Message(
                id, FRONTEND, 0, NO_TENANT, DESTINATION, deadline, deadline, false, true, "", new byte[bodyBytes]));
    }

    Optional<FinalOutcome> submit(String id, long destination) {
        long deadline = clock.now() + DEADLINE_NS;
        return dispatcher.submit(new ActiveRequest.Message(
                id, FRONTEND, 0, NO_TENANT, destination, deadline, deadline, false, true, "", new byte[0]));
    }

    Optional<FinalOutcome> submitWithKey(String id, String key, String... alternateKeys) {
        long deadline = clock.now() + DEADLINE_NS;
        ActiveRequest.Message message = new ActiveRequest.Message(
                id, FRONTEND, 0, NO_TENANT, DESTINATION, deadline, deadline, false, false, "", new byte[0], key, "");
        return dispatcher.submit(message, List.of(alternateKeys));
    }

    Optional<FinalOutcome> submitOrdered(String id, String orderKey, long remainingNs) {
        long deadline = clock.now() + remainingNs;
        return dispatcher.submit(new ActiveRequest.Message(
                id,
                FRONTEND,
                0,
                NO_TENANT,
                DESTINATION,
                deadline,
                deadline,
                false,
                true,
                "",
                new byte[0],
                "",
                orderKey));
    }

    /** Advances the clocks and runs the tasks that are due then. */
    void advance(long ns) {
        advancedNs += ns;
        List<Runnable> due = timers.stream()
                .filter(task -> dueTimes.getOrDefault(task, 0L) <= clock.now())
                .toList();
        timers.removeAll(due);
        due.forEach(Runnable::run);
        runDueTasks();
    }

    /** Ends an attempt, counted from 0 over all dispatchers, and runs the tasks that are due then. */
    void end(int attempt, AttemptOutcome outcome) {
        attempts.get(attempt).ended(outcome);
        runDueTasks();
    }

    /** Ends the latest attempt. */
    void endLast(AttemptOutcome outcome) {
        end(attempts.size() - 1, outcome);
    }

    void runDueTasks() {
        List<Runnable> due = List.copyOf(dueTasks);
        dueTasks.clear();
        due.forEach(Runnable::run);
    }

    @Override
    public void at(long time, Runnable task) {
        (time <= clock.now() ? dueTasks : timers).add(task);
        dueTimes.put(task, time);
    }

    @Override
    public void afterReading(Runnable task) {
        timers.add(task);
    }

    @Override
    public boolean isStalled() {
        return stalled;
    }

    @Override
    public EndpointCall send(
            ActiveRequest.Message message, String endpoint, long connectBy, long answerBy, AttemptListener listener) {
        throwIfFailing();
        attempts.add(listener);
        attemptIds.add(message.id());
        attemptEndpoints.add(endpoint);
        return () -> listener.ended(
                AttemptOutcome.unanswered(AttemptOutcome.Progress.WRITTEN, AttemptOutcome.Status.ABANDONED));
    }

    private void throwIfFailing() {
        Throwable failure = sendFailure;
        sendFailure = null;
        if (failure instanceof Error error) {
            throw error;
        }
        if (failure instanceof RuntimeException exception) {
            throw exception;
        }
    }

    @Override
    public void failed(Throwable thrown) {
        failures.add(thrown);
    }

    @Override
    public void closeIdle(String endpoint) {}
}
