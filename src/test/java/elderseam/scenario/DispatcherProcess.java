package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.testkit.LogLine;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** One process of the program in a scenario, its log, and what the log told so far. */
final class DispatcherProcess {
    /** What the log tells once; the address where it listens belongs to some. */
    enum Milestone {
        CLIENTS_LISTENING,
        EVENTS_LISTENING,
        CONTROL_LISTENING,
        DRAINING,
        RELOADED,
        RELOAD_REJECTED
    }

    private final Process process;
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    private final Map<Milestone, CompletableFuture<String>> milestones = new EnumMap<>(Milestone.class);
    private final Consumer<String> observer;
    private volatile boolean pausedByScript;
    private String clientAddress; // by the log's reader alone

    /**
     * Takes over a process that was started with its error output in its output, and reads its log.
     *
     * @param observer takes each line of its log
     */
    DispatcherProcess(Process process, Consumer<String> observer) {
        this.process = process;
        this.observer = observer;
        for (Milestone milestone : Milestone.values()) {
            milestones.put(milestone, new CompletableFuture<>());
        }
        BufferedReader output = process.inputReader();
        Thread reader = new Thread(() -> readLog(output));
        reader.setDaemon(true);
        reader.start();
    }

    private void readLog(BufferedReader output) {
        try (Stream<String> lines = output.lines()) {
            lines.forEach(this::readLine);
        } catch (RuntimeException e) {
            // the process has ended, and its output with it
        }
        milestones.get(Milestone.CLIENTS_LISTENING).completeExceptionally(new IOException("the program ended"));
    }

    private void readLine(String line) {
        System.out.println("  | " + line);
        observer.accept(line);
        log.add(line);
        LogLine logged = LogLine.parse(line).orElse(null);
        if (logged == null) {
            return; // a line of a stack trace
        }
        switch (logged.event()) {
            case "cloudevents.listening" -> reach(Milestone.EVENTS_LISTENING, logged.field("address"));
            case "control.listening" -> reach(Milestone.CONTROL_LISTENING, logged.field("address"));
            case "shutdown.started" -> reach(Milestone.DRAINING, line);
            case "reload.applied" -> reach(Milestone.RELOADED, line);
            case "reload.rejected" -> reach(Milestone.RELOAD_REJECTED, line);
            case "server.listening" -> clientAddress = logged.field("address");
            case "server.ready" -> reach(Milestone.CLIENTS_LISTENING, clientAddress);
            default -> {
                // no milestone
            }
        }
    }

    private void reach(Milestone milestone, String value) {
        milestones.get(milestone).complete(value);
    }

    /** Whether the log has told of that already. */
    boolean hasReached(Milestone milestone) {
        return milestones.get(milestone).isDone();
    }

    /** Waits until the log tells of that; the address, or the line of the log. */
    String await(Milestone milestone) throws IOException {
        try {
            return milestones.get(milestone).get(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new IOException("the program did not come to " + milestone + ": " + e);
        }
    }

    /** Waits for a line of the log, not passed over yet, that holds these parts, which are set apart by " ... ". */
    void expectLogLine(String words) throws InterruptedException {
        String[] parts = words.split(" \\.\\.\\. ");
        String line;
        do {
            line = log.poll(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS);
            assertNotNull(line, "the log does not say so");
        } while (!Stream.of(parts).allMatch(line::contains));
    }

    /** Does a step that any process understands: {@code close kill}, {@code close term}, {@code wait exit CODE}. */
    void step(String verb, String words) throws InterruptedException {
        String step = verb + " " + words;
        switch (step) {
            case "close kill" -> process.destroyForcibly().waitFor();
            case "close term" -> process.toHandle().destroy(); // the process's own destroy() closes its log, too
            default -> {
                assertTrue(process.waitFor(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS), "still running");
                assertEquals("wait exit " + process.exitValue(), step);
            }
        }
    }

    /** Sends it a signal by its name without SIG. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + pid()).start().waitFor();
    }

    /** Stops it, and waits until it stands. */
    void pause() throws IOException, InterruptedException {
        signal("STOP");
        while (!status(pid()).startsWith("T")) {
            Thread.onSpinWait();
        }
    }

    /** Stops it until {@link #resumeByScript}. */
    void pauseByScript() throws IOException, InterruptedException {
        pausedByScript = true;
        pause();
    }

    /** Lets it go on. */
    void resumeByScript() throws IOException, InterruptedException {
        pausedByScript = false;
        signal("CONT");
    }

    /** Whether a step of the script has stopped it. */
    boolean isPausedByScript() {
        return pausedByScript;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** The state of a process, and what follows it in {@code /proc/PID/stat}. */
    private static String status(long pid) throws IOException {
        String line = Files.readString(Path.of("/proc/" + pid + "/stat"));
        return line.substring(line.lastIndexOf(')') + 2);
    }

    /** The processor time that it has used, in hundredths of a second. */
    long cpuTicks() throws IOException {
        String[] fields = status(pid()).split(" ");
        long user = Long.parseLong(fields[11]);
        long system = Long.parseLong(fields[12]);
        return user + system;
    }

    /** Its resident memory in kB, 0 if it has ended. */
    long residentKilobytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }

    /** Kills it, and waits for its end. */
    void destroy() {
        process.destroyForcibly().onExit().join();
    }
}
