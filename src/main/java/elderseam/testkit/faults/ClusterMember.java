package elderseam.testkit.faults;

import elderseam.testkit.LogLine;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** One process of the program: started, stalled, killed and started again with its folder kept. */
final class ClusterMember {
    private static final long PATIENCE_S = 60;

    final String name;
    private final Path folder;
    private final Map<String, String> variables;
    private final Consumer<LogLine> log;
    private Process process;
    private volatile CompletableFuture<String> serving;
    private volatile CompletableFuture<String> control;
    private long startedNs;
    private volatile long readyNs;

    /** {@code folder} has its settings, {@code elderseam.ini}; {@code log} is given each event that the process logs. */
    ClusterMember(String name, Path folder, Map<String, String> variables, Consumer<LogLine> log) {
        this.name = name;
        this.folder = folder;
        this.variables = variables;
        this.log = log;
    }

    /** Starts it; {@link #ready} waits until it serves. */
    Process start() throws IOException {
        ProcessBuilder b = new ProcessBuilder(
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
                folder.resolve("elderseam.ini").toString());
        b.environment().keySet().removeIf(k -> k.startsWith("RELAY_"));
        b.environment().putAll(variables);
        serving = new CompletableFuture<>();
        control = new CompletableFuture<>();
        startedNs = System.nanoTime();
        process = b.redirectErrorStream(true).start();
        BufferedReader lines = process.inputReader();
        CompletableFuture<String> serves = serving;
        CompletableFuture<String> controls = control;
        Thread reader = new Thread(() -> read(lines, serves, controls), "log-" + name);
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    private void read(BufferedReader lines, CompletableFuture<String> serves, CompletableFuture<String> controls) {
        String[] at = new String[1];
        try (Stream<String> all = lines.lines();
                var file = Files.newBufferedWriter(
                        folder.resolve("log"),
                        java.nio.file.StandardOpenOption.CREATE,
                        java.nio.file.StandardOpenOption.APPEND)) {
            all.forEach(line -> {
                try {
                    file.write(line + "\n");
                    file.flush();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                LogLine.parse(line).ifPresent(logged -> {
                    switch (logged.event()) {
                        case "control.listening" -> controls.complete(logged.field("address"));
                        case "server.listening" -> at[0] = logged.field("address");
                        case "server.ready" -> {
                            readyNs = System.nanoTime();
                            serves.complete(at[0]);
                        }
                        default -> {
                            // no event that a start is seen by
                        }
                    }
                    log.accept(logged);
                });
            });
        } catch (IOException | UncheckedIOException e) {
            // the process was killed
        }
        serves.completeExceptionally(
                new IOException(name + " ended before it was ready; its log is " + folder.resolve("log")));
    }

    /** Where it serves, once it says that it is ready. */
    String ready() throws IOException {
        return await(serving);
    }

    private String await(CompletableFuture<String> said) throws IOException {
        try {
            return said.get(PATIENCE_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(name + ": not ready: " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(name + ": interrupted", e);
        }
    }

    /** Milliseconds from its start to its readiness. */
    long startMs() {
        return (readyNs - startedNs) / 1_000_000;
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** What its second address answers to a line. */
    String ask(String line) throws IOException {
        String at = await(control);
        int colon = at.lastIndexOf(':');
        try (Socket s = new Socket(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)))) {
            s.setSoTimeout(10_000);
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** SIGKILL; returns once the process is gone. */
    void kill() throws IOException {
        awaitEnd(process.destroyForcibly());
    }

    private static void awaitEnd(Process p) throws IOException {
        try {
            p.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /** SIGTERM; returns once the process has ended by itself. */
    void end() throws IOException {
        signal("TERM");
        awaitEnd(process);
    }

    void stall() throws IOException {
        signal("STOP");
    }

    void resume() throws IOException {
        signal("CONT");
    }

    private void signal(String name) throws IOException {
        awaitEnd(new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start());
    }

    /** A figure of /proc/PID/status: VmRSS in kB, or Threads. */
    long status(String figure) throws IOException {
        List<String> lines = Files.readAllLines(Path.of("/proc/" + pid() + "/status"));
        return lines.stream()
                .filter(l -> l.startsWith(figure + ":"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }

    /** Hundredths of a second of processor time that it has used. */
    long ticks() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid() + "/stat"));
        String[] words =
                stat.substring(stat.lastIndexOf(')') + 2).split(" "); // the name may hold spaces; proc(5) has the rest
        return Long.parseLong(words[11]) + Long.parseLong(words[12]);
    }
}
