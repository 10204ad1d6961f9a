package elderseam.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.testkit.simulator.SimulatorHost;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * One script, played through the simulator's host and through the server's core: the policy must see the same and decide
 * the same. What one host does for the policy by itself and the other leaves out shows as a difference.
 */
class HostAgreementTest {
    private static final long MS = Clock.MILLISECOND_NS;
    private static final int TICK_MS = 10;
    private static final int END_MS = 9_000;
    private static final long START_NS = 1_000_000_000_000L;

    private static final Map<String, String> SETTINGS = new TreeMap<>(Map.ofEntries(
            Map.entry("discovery", "ask"),
            Map.entry("extra.callSlots", "4"),
            Map.entry("extra.batchByKind", "3"),
            Map.entry("limits.mostHeld", "64"),
            Map.entry("limits.maxAttempts", "3"),
            Map.entry("limits.mayCancel", "true"),
            Map.entry("safety.keyQuietNs", "100000000"),
            Map.entry("services.count", "1"),
            Map.entry("services.0.effect", "once"),
            Map.entry("services.0.fifoByKey", "true"),
            Map.entry("services.0.targetNs", "2000000000"),
            Map.entry("services.0.giveUpNs", "9000000000")));

    /** A step of the script; the simulator's name of a result stands in {@code code}. */
    private record Step(int atMs, String id, String key, int remainingMs, int attempt, int code) {
        static Step submit(int atMs, String id, String key, int remainingMs) {
            return new Step(atMs, id, key, remainingMs, 0, 0);
        }

        static Step answer(int atMs, String id, int attempt, int code) {
            return new Step(atMs, id, "", 0, attempt, code);
        }

        boolean submits() {
            return code == 0;
        }
    }

    private static final int DELIVERED = 200;
    private static final int FULL = 429;
    private static final int RESET = 520;

    /** Two keys and messages without one: deliveries, a refusal, a reset of the first of a key, and one out of time. */
    private static final List<Step> SCRIPT = List.of(
            Step.submit(100, "a1", "a", 8_000),
            Step.submit(110, "a2", "a", 8_000),
            Step.submit(120, "b1", "b", 8_000),
            Step.submit(130, "b2", "b", 600),
            Step.submit(140, "a3", "a", 8_000),
            Step.submit(150, "n1", "", 8_000),
            Step.answer(300, "a1", 0, DELIVERED),
            Step.answer(500, "a2", 0, RESET),
            Step.answer(520, "n1", 0, FULL),
            Step.answer(1_500, "b1", 0, DELIVERED),
            Step.submit(1_600, "b3", "b", 7_000),
            Step.answer(2_500, "a3", 0, DELIVERED),
            Step.answer(2_600, "n1", 1, DELIVERED),
            Step.answer(2_700, "b3", 0, DELIVERED));

    @TempDir
    Path folder;

    /** {@code start ID} and {@code end ID}, in the order in which the policy decided so. */
    private static List<String> throughTheSimulator() throws IOException {
        StringBuilder input = new StringBuilder("TURN " + START_NS + " 1\nENLIST d 1 ");
        SETTINGS.forEach(
                (name, value) -> input.append(name).append('=').append(value).append(' '));
        input.append("\nMANIFEST 2 1\nROW - h 2 1 0 1 0\nUPDATE d 2 1 1\nFLUSH\n");
        Map<String, Long> keys = new LinkedHashMap<>();
        for (int atMs = TICK_MS; atMs <= END_MS; atMs += TICK_MS) {
            input.append("TURN ")
                    .append(START_NS + atMs * MS)
                    .append(' ')
                    .append(atMs)
                    .append('\n');
            input.append("TIMEOUT_FIRED d 0\n");
            for (Step step : SCRIPT) {
                if (step.atMs() == atMs) {
                    input.append(line(step, keys));
                }
            }
            input.append("FLUSH\n");
        }
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new SimulatorHost(new ByteArrayInputStream(input.toString().getBytes(StandardCharsets.UTF_8)), output).run();
        List<String> decisions = new ArrayList<>();
        output.toString(StandardCharsets.UTF_8).lines().forEach(line -> {
            String[] words = line.split(" ");
            switch (words[0]) {
                case "FORWARD" -> decisions.add("start " + words[2]);
                case "BOUNCE", "FAIL" -> decisions.add("end " + words[2]);
                case "BROKEN" -> decisions.add(line);
                default -> {
                    // OK, timers, log lines
                }
            }
        });
        return decisions;
    }

    private static String line(Step step, Map<String, Long> keys) {
        if (!step.submits()) {
            boolean over = step.code() == DELIVERED;
            return "RESPONSE d " + step.id() + " 0 h " + (over ? 1 : 0) + " 100000000 " + step.code() + " "
                    + step.attempt() + " -\n";
        }
        String key = step.key().isEmpty() ? "-" : keys.computeIfAbsent(step.key(), text -> keys.size() + 1L) + "";
        long deadline = START_NS + (step.atMs() + step.remainingMs()) * MS;
        return "SUBMIT d " + step.id() + " 0 0 " + key + " " + deadline + " 0 1 0\n";
    }

    private List<String> throughTheCore() throws IOException {
        DispatcherHarness harness = new DispatcherHarness(folder, SETTINGS);
        List<String> decisions = new ArrayList<>();
        for (int atMs = TICK_MS; atMs <= END_MS; atMs += TICK_MS) {
            harness.advance(TICK_MS * MS);
            for (Step step : SCRIPT) {
                if (step.atMs() == atMs) {
                    play(step, harness);
                }
            }
            collect(harness, decisions);
        }
        return decisions;
    }

    private static void play(Step step, DispatcherHarness harness) {
        if (step.submits()) {
            harness.submitOrdered(step.id(), step.key(), step.remainingMs() * MS);
            return;
        }
        int attempt = harness.attemptIds.lastIndexOf(step.id());
        assertTrue(attempt >= 0, step.id() + " was never attempted");
        harness.end(
                attempt,
                switch (step.code()) {
                    case DELIVERED -> DispatcherHarness.DELIVERED;
                    case FULL -> new AttemptOutcome(Progress.ANSWERED, Status.OVERLOADED, 0, 0, 0);
                    default -> AttemptOutcome.unanswered(Progress.WRITTEN, Status.BROKEN);
                });
    }

    /** Notes what is new since the last time; clients hear of an end at once, as the simulator's do. */
    private static void collect(DispatcherHarness harness, List<String> decisions) {
        boolean changed;
        do {
            long started =
                    decisions.stream().filter(text -> text.startsWith("start")).count();
            harness.attemptIds.stream().skip(started).forEach(id -> decisions.add("start " + id));
            List<String> ended = harness.completed.stream()
                    .filter(text -> !text.endsWith("DELIVERED"))
                    .map(text -> text.split(" ")[0])
                    .filter(id -> !decisions.contains("end " + id))
                    .toList();
            changed = !ended.isEmpty();
            for (String id : ended) {
                decisions.add("end " + id);
                harness.dispatcher.markNotified(id);
            }
            harness.runDueTasks();
        } while (changed);
    }

    private static String of(List<String> decisions, String id) {
        return decisions.stream().filter(text -> text.endsWith(" " + id)).collect(Collectors.joining(", "));
    }

    @Test
    void bothHostsLetThePolicyDecideTheSame() throws IOException {
        List<String> simulated = throughTheSimulator();
        List<String> real = throughTheCore();
        for (String id : List.of("a1", "a2", "a3", "b1", "b2", "b3", "n1")) {
            assertEquals(of(simulated, id), of(real, id), simulated + " and " + real);
        }
        for (String key : List.of("a", "b")) {
            assertEquals(ofKey(simulated, key), ofKey(real, key));
        }
        assertEquals("start a1, start a2, end a2, start a3", ofKey(real, "a"));
    }

    private static String ofKey(List<String> decisions, String key) {
        return decisions.stream().filter(text -> text.contains(" " + key)).collect(Collectors.joining(", "));
    }
}
