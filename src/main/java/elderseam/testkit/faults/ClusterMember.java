package elderseam.testkit.faults;

import elderseam.testkit.LogLine;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * One process of the program: started, stalled, killed, and started again on its folder. One thread uses it; a thread of its
 * own reads what the process logs.
 */
final class ClusterMember {
    private static final long READY_TIMEOUT_S = 60;
    private static final int ANSWER_TIMEOUT_MS = 10_000;
    private static final String LOG_FILE = "log";
    private static final int STAT_USER_TICKS = 11; // of the words after the process's name; see proc(5)
    private static final int STAT_SYSTEM_TICKS = 12;

    /** Its name in the cluster. */
    final String name;

    private final Path folder;
    private final Map<String, String> variables;
    private final Consumer<LogLine> onEvent;
    private Process process; // null before the first start
    private volatile CompletableFuture<String> servingAddress;
    private volatile CompletableFuture<String> controlAddress;
    private long startedNs;
    private volatile long readyNs;

    /**
     * Creates a member, which is not started yet.
     *
     * @param folder has its settings, {@link MemberSettings#FILE_NAME}; its log is written there
     * @param variables of the process's environment
     * @param onEvent is given each event that the process logs, on the thread that reads the log
     */
    ClusterMember(String name, Path folder, Map<String, String> variables, Consumer<LogLine> onEvent) {
        this.name = name;
        this.folder = folder;
        this.variables = variables;
        this.onEvent = onEvent;
    }

    /** Starts the process; {@link #ready} waits until it serves. */
    Process start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-Xshare:auto",
                "-Xss256k",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "elderseam.Main",
                "serve",
                folder.resolve(MemberSettings.FILE_NAME).toString());
        builder.environment().keySet().removeIf(variable -> variable.startsWith("RELAY_"));
        builder.environment().putAll(variables);
        CompletableFuture<String> serving = new CompletableFuture<>();
        CompletableFuture<String> control = new CompletableFuture<>();
        servingAddress = serving;
        controlAddress = control;
        startedNs = System.nanoTime();
        process = builder.redirectErrorStream(true).start();
        BufferedReader output = process.inputReader();
        Thread reader = new Thread(() -> readLog(output, serving, control), "log-" + name);
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    private void readLog(BufferedReader output, CompletableFuture<String> serving, CompletableFuture<String> control) {
        Path logFile = folder.resolve(LOG_FILE);
        String listening = null;
        try (output;
                BufferedWriter log =
                        Files.newBufferedWriter(logFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                log.write(line + "\n");
                log.flush();
                LogLine event = LogLine.parse(line).orElse(null);
                if (event == null) {
                    continue;
                }
                if (event.is("control.listening")) {
                    control.complete(event.field("address"));
                } else if (event.is("server.listening")) {
                    listening = event.field("address");
                } else if (event.is("server.ready")) {
                    readyNs = System.nanoTime();
                    serving.complete(listening);
                }
                onEvent.accept(event);
            }
        } catch (IOException e) {
            // the process was killed
        }
        serving.completeExceptionally(new IOException(name + " ended before it was ready; its log is " + logFile));
    }

    /** Waits until the process serves; the address where it does. */
    String ready() throws IOException {
        return await(servingAddress);
    }

    private String await(CompletableFuture<String> address) throws IOException {
        try {
            return address.get(READY_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(name + ": not ready: " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(name + ": interrupted", e);
        }
    }

    /** Milliseconds from its start to its readiness. */
    long startMs() {
        return (readyNs - startedNs) / Waits.NANOS_PER_MS;
    }

    /** Whether the process runs; a stalled one does. */
    boolean alive() {
        return process != null && process.isAlive();
    }

    /** The id of the last process that was started. */
    long pid() {
        return process.pid();
    }

    /** The answer of its control address to a line. */
    String ask(String line) throws IOException {
        String address = await(controlAddress);
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        try (Socket socket = new Socket(address.substring(0, colon), port)) {
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** Sends SIGKILL; returns once the process is gone. */
    void kill() throws IOException {
        awaitEnd(process.destroyForcibly());
    }

    private static void awaitEnd(Process process) throws IOException {
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /** Sends SIGTERM; returns once the process has ended by itself. */
    void end() throws IOException {
        signal("TERM");
        awaitEnd(process);
    }

    /** Stops the process by SIGSTOP, until {@link #resume}. */
    void stall() throws IOException {
        signal("STOP");
    }

    /** Lets a stalled process go on. */
    void resume() throws IOException {
        signal("CONT");
    }

    private void signal(String signal) throws IOException {
        awaitEnd(new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start());
    }

    /** A number in /proc/PID/status, such as VmRSS in kB or Threads; 0 where it is not there. */
    long status(String key) throws IOException {
        List<String> lines = Files.readAllLines(Path.of("/proc/" + pid() + "/status"));
        return lines.stream()
                .filter(line -> line.startsWith(key + ":"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }

    /** Hundredths of a second of processor time that the process has used. */
    long processorTicks() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid() + "/stat"));
        int endOfName = stat.lastIndexOf(')'); // the name may hold blanks
        String[] words = stat.substring(endOfName + 2).split(" ");
        return Long.parseLong(words[STAT_USER_TICKS]) + Long.parseLong(words[STAT_SYSTEM_TICKS]);
    }
}
