package elderseam.figures;

import static java.nio.charset.StandardCharsets.UTF_8;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.Journal;
import elderseam.testkit.LogLine;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Measures a start of the program as {@code deploy/balancer.toml} runs it: how long to readiness, how long the I/O thread
 * was away, CPU and memory, at a share of one core and with messages to take back. The share is made by stopping the
 * process for part of each 10 ms; it is bound to one core where the system has taskset. Run from the root after a build:
 * {@code make figures}, or with words CORES,... MESSAGES,... ROUNDS [json].
 */
public final class StartupMeasurements {
    private static final int PERIOD_MS = 10;

    /** One start. {@code awayMs}: the longest silence that the program told of itself, 0 below 50 ms. */
    private record Start(double cores, int messages, long readyMs, long awayMs, long cpuMs, long peakKb) {}

    private StartupMeasurements() {}

    public static void main(String[] args) throws Exception {
        if (args.length > 4 || (args.length > 0 && args[0].equals("--help"))) {
            System.err.println("usage: StartFigures [CORES,... MESSAGES,... ROUNDS [json]], such as 0.3,0.5,1 0,700 5");
            System.exit(2);
        }
        String[] cores = (args.length > 0 ? args[0] : "0.3,0.5,1").split(",");
        String[] messages = (args.length > 1 ? args[1] : "0,700").split(",");
        int rounds = args.length > 2 ? Integer.parseInt(args[2]) : 5;
        boolean json = args.length > 3;
        if (!json) {
            System.out.println("cores  messages  ready ms (median, worst)  away ms (worst)  CPU ms (median)  peak MB");
        }
        for (String c : cores) {
            for (String m : messages) {
                List<Start> starts = new java.util.ArrayList<>();
                for (int i = 0; i < rounds; i++) {
                    System.err.print("\r" + c + " core, " + m + " messages: " + (i + 1) + " of " + rounds + "   ");
                    starts.add(start(Double.parseDouble(c), Integer.parseInt(m)));
                }
                System.err.print("\r" + " ".repeat(50) + "\r");
                starts.sort(Comparator.comparingLong(Start::readyMs));
                Start middle = starts.get(rounds / 2);
                Start worst = starts.get(rounds - 1);
                long away = starts.stream().mapToLong(Start::awayMs).max().orElse(0);
                System.out.printf(
                        Locale.ROOT,
                        json
                                ? "{\"cores\":%s,\"messages\":%s,\"ready_ms\":%d,\"ready_worst_ms\":%d,"
                                        + "\"away_worst_ms\":%d,\"cpu_ms\":%d,\"peak_mb\":%d}%n"
                                : "%5s %9s %13d %11d %16d %16d %8d%n",
                        c,
                        m,
                        middle.readyMs,
                        worst.readyMs,
                        away,
                        middle.cpuMs,
                        middle.peakKb / 1024);
            }
        }
    }

    private static Start start(double cores, int messages) throws Exception {
        Path folder = Files.createTempDirectory("elderseam-start");
        try (ServerSocket platform = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                ServerSocket host = new ServerSocket(0, 500, InetAddress.getLoopbackAddress())) {
            serve(platform, true);
            serve(host, false);
            left(folder.resolve("state"), messages);
            Files.writeString(folder.resolve("config.json"), config(platform, host));
            return measured(folder, platform, cores, messages);
        } finally {
            try (var files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            }
        }
    }

    private static Start measured(Path folder, ServerSocket platform, double cores, int messages) throws Exception {
        List<String> command = Files.isExecutable(Path.of("/usr/bin/taskset"))
                ? List.of(
                        "taskset",
                        "-c",
                        Integer.toString(Runtime.getRuntime().availableProcessors() - 1),
                        "sh",
                        "deploy/serve.sh")
                : List.of("sh", "deploy/serve.sh");
        ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true);
        b.environment()
                .putAll(java.util.Map.of(
                        "RELAY_NAME",
                        "n1",
                        "RELAY_LISTEN",
                        "127.0.0.1:0",
                        "RELAY_DISCOVERY",
                        address(platform),
                        "RELAY_STATE",
                        folder.resolve("state").toString(),
                        "RELAY_CONFIG",
                        folder.resolve("config.json").toString()));
        Process signals = new ProcessBuilder("sh").start();
        long from = System.nanoTime();
        Process program = b.start();
        Thread share = new Thread(() -> share(program, signals, cores), "share");
        share.start();
        long ready = -1;
        long away = 0;
        try (BufferedReader log = program.inputReader()) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                LogLine logged = LogLine.parse(line).orElse(null);
                if (logged != null && logged.is("server.ready")) {
                    ready = System.nanoTime() - from;
                    CompletableFuture<Void> unused = program.onExit()
                            .completeOnTimeout(program, 1_500, TimeUnit.MILLISECONDS)
                            .thenRun(() -> stop(program, folder));
                }
                if (logged != null && logged.is("server.ready")) {
                    away = Math.max(away, Long.parseLong(logged.field("longest_stall_ms")));
                } else if (logged != null && logged.is("io.stalled")) {
                    away = Math.max(away, Long.parseLong(logged.field("duration_ms")));
                }
            }
        } finally {
            program.destroyForcibly().waitFor();
            share.join();
            signals.destroy();
        }
        List<String> used = Files.readAllLines(folder.resolve("used"));
        return new Start(
                cores,
                messages,
                ready / Clock.MILLISECOND_NS,
                away,
                Long.parseLong(used.get(0)),
                Long.parseLong(used.get(1)));
    }

    /** Notes what it used, and ends it. */
    private static void stop(Process program, Path folder) {
        try {
            String stat = Files.readString(Path.of("/proc/" + program.pid() + "/stat"));
            String[] field = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            String peak = Files.readAllLines(Path.of("/proc/" + program.pid() + "/status")).stream()
                    .filter(l -> l.startsWith("VmHWM"))
                    .findFirst()
                    .orElse("0")
                    .replaceAll("\\D", "");
            Files.writeString(
                    folder.resolve("used"),
                    (Long.parseLong(field[11]) + Long.parseLong(field[12])) * 10 + "\n" + peak + "\n");
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } finally {
            program.destroyForcibly();
        }
    }

    /** Lets the process run for that part of each period. */
    private static void share(Process program, Process signals, double cores) {
        try (PrintStream to = new PrintStream(signals.getOutputStream(), true, StandardCharsets.US_ASCII)) {
            while (cores < 1 && program.isAlive()) {
                Thread.sleep(Math.round(PERIOD_MS * cores));
                to.println("kill -STOP " + program.pid() + " 2>/dev/null");
                Thread.sleep(Math.round(PERIOD_MS * (1 - cores)));
                to.println("kill -CONT " + program.pid() + " 2>/dev/null");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Half of them owed at once: over, or a once-only one that may have run. */
    private static void left(Path state, int messages) throws IOException {
        Clock clock = new Clock();
        try (Journal journal = new Journal(state, 3_000_000, clock)) {
            for (int i = 0; i < messages; i++) {
                long by = clock.now() + (i % 4 == 0 ? -500 + i : 15_000) * Clock.MILLISECOND_NS;
                ActiveRequest.Message m = new ActiveRequest.Message(
                        "m" + i, (byte) 0, i % 2 * 2, 0, 1 + i % 8, by, by, false, true, "k" + i, new byte[300]);
                journal.accepted(m);
                if (i % 4 == 1) {
                    journal.attemptBegins(m.id());
                }
            }
        }
    }

    private static String config(ServerSocket platform, ServerSocket host) throws IOException {
        StringBuilder servers = new StringBuilder();
        for (int i = 1; i <= 8; i++) {
            servers.append(i == 1 ? "" : ",")
                    .append("{\"id\":\"s")
                    .append(i)
                    .append("\",\"addr\":\"")
                    .append(address(host))
                    .append("\",\"zone\":\"z\",\"kind\":\"bank\",\"cell\":")
                    .append(i)
                    .append(",\"state\":\"SERVING\",\"weight\":50.0,\"started_ms\":0}");
        }
        String settings = new String(
                        StartupMeasurements.class
                                .getResourceAsStream("/settings.json")
                                .readAllBytes(),
                        UTF_8)
                .replace("\"mostHeld\":64", "\"mostHeld\":800");
        return "{\"name\":\"n1\",\"seed\":\"1\",\"discovery\":\"" + address(platform)
                + "\",\"limits\":{\"sockets\":384,"
                + "\"memory_mb\":144,\"disk_mb\":3},\"known\":{\"version\":1,\"full\":true,\"servers\":[" + servers
                + "]},\"settings\":"
                + settings + "}";
    }

    private static String address(ServerSocket server) {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Takes every call at once; the platform's watch waits. */
    private static void serve(ServerSocket server, boolean platform) {
        Thread accepting = new Thread(() -> {
            try {
                while (true) {
                    Socket s = server.accept();
                    Thread t = new Thread(() -> answer(s, platform));
                    t.setDaemon(true);
                    t.start();
                }
            } catch (IOException e) {
                // closed: this start is over
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    private static void answer(Socket s, boolean platform) {
        try (s;
                InputStream in = s.getInputStream()) {
            StringBuilder head = new StringBuilder();
            for (int c = in.read(); c >= 0; c = in.read()) {
                head.append((char) c);
                if (head.length() > 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                    String told = head.toString();
                    int length = told.contains("Content-Length: ")
                            ? Integer.parseInt(told.replaceAll("(?s).*Content-Length: (\\d+).*", "$1"))
                            : 0;
                    in.readNBytes(length);
                    head.setLength(0);
                    if (!told.startsWith("GET")) {
                        s.getOutputStream()
                                .write((platform
                                                ? "HTTP/1.1 204 x\r\n\r\n"
                                                : "HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n")
                                        .getBytes(UTF_8));
                    }
                }
            }
        } catch (IOException e) {
            // the program has gone
        }
    }
}
