package upgrades;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts processes of one dispatcher by the deploy file's {@code run}, and does to them what the platform does. */
final class Dispatcher {
    /** One process. */
    final class Run {
        final int number;
        final Process process;
        final double startedAt = Record.now();
        private final String control;
        private final Path log;

        private Run(int number, Process process, String control, Path log) {
            this.number = number;
            this.process = process;
            this.control = control;
            this.log = log;
        }

        /** Waits until it says yes to PING. */
        void awaitYes(double limitMs) throws IOException, InterruptedException {
            double end = Record.now() + limitMs;
            while (!control("PING").startsWith("200")) {
                if (Record.now() > end || !process.isAlive()) {
                    throw new IOException("process " + number + " did not say yes");
                }
                Thread.sleep(10);
            }
            record.line("process %d says yes, %.0f ms after its start", number, Record.now() - startedAt);
        }

        /** Waits for a line of its log that holds these words. */
        void awaitLog(String words, double limitMs) throws IOException, InterruptedException {
            double end = Record.now() + limitMs;
            while (!Files.readString(log).contains(words)) {
                if (Record.now() > end || !process.isAlive()) {
                    throw new IOException("process " + number + " did not log " + words);
                }
                Thread.sleep(5);
            }
        }

        private String control(String line) {
            try (Socket socket = new Socket()) {
                socket.connect(Http.socketAddress(control), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return "";
            }
        }

        /** Sends a signal by its name without SIG. */
        void signal(String name) throws IOException, InterruptedException {
            record.line("SIG%s to process %d", name, number);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        }

        /** SIGTERM, and SIGKILL 3.7 s later if it is still there. */
        void terminate() throws IOException, InterruptedException {
            signal("TERM");
            Http.thread(() -> {
                try {
                    if (process.waitFor(3_700, TimeUnit.MILLISECONDS)) {
                        record.line("process %d has ended with %d", number, process.exitValue());
                    } else {
                        record.line("SIGKILL to process %d", number);
                        process.destroyForcibly();
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    private final Path folder;
    private final Path settingsFile;
    private final Record record;
    private final boolean oneCore;
    private final String listenAddress;
    private final List<Run> runs = new ArrayList<>();

    /** All processes run on one core, as the deploy page has it, but where taskset is missing. */
    Dispatcher(Path folder, Path settingsFile, Record record) throws IOException {
        this.folder = folder;
        this.settingsFile = settingsFile;
        this.record = record;
        this.oneCore = System.getenv("ALL_CORES") == null && hasTaskset();
        this.listenAddress = "127.0.0.1:" + Http.freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Whether a process may be put on one core here. */
    private static boolean hasTaskset() throws IOException {
        try {
            Process process = new ProcessBuilder("taskset", "-c", Integer.toString(lastCore()), "true").start();
            return process.waitFor() == 0;
        } catch (IOException e) {
            return false; // there is no taskset
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    String listenAddress() {
        return listenAddress;
    }

    /** Writes the configuration, replacing it whole. */
    void configure(Platform platform) throws IOException {
        String text = "{\"name\":\"n1\",\"listen\":\"" + listenAddress + "\",\"discovery\":\"" + platform.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},\n"
                + "\"known\":" + platform.list() + ",\n\"settings\":" + Settings.platform() + "}\n";
        Path written = Files.writeString(folder.resolve("config.new"), text);
        Files.move(written, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts a process; a second one takes over from the first. */
    Run start(Platform platform) throws IOException {
        int number = runs.size() + 1;
        String control = "127.0.0.1:" + Http.freePort();
        List<String> command = new ArrayList<>(oneCore ? List.of("taskset", "-c", Integer.toString(lastCore())) : List.of());
        command.addAll(List.of("/bin/sh", "-c", deployCommand() + " " + settingsFile));
        Path log = folder.resolve("log" + number);
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = builder.environment();
        environment.put("RELAY_NAME", "n1");
        environment.put("RELAY_LISTEN", listenAddress);
        environment.put("RELAY_DISCOVERY", platform.address());
        environment.put("RELAY_STATE", folder.resolve("state").toString());
        environment.put("RELAY_CONFIG", folder.resolve("config.json").toString());
        environment.put("RELAY_CONTROL", control);
        Process process =
                builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        record.line("process %d is started%s", number, oneCore ? ", on one core" : "");
        Run run = new Run(number, process, control, log);
        runs.add(run);
        return run;
    }

    /** The last core that this process may use. */
    private static int lastCore() throws IOException {
        String allowed = Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith("Cpus_allowed_list:"))
                .findFirst()
                .orElse("Cpus_allowed_list: 0");
        String[] numbers = allowed.split("[^0-9]+");
        return Integer.parseInt(numbers[numbers.length - 1]);
    }

    /** What {@code run} says in the deploy file. */
    private static String deployCommand() throws IOException {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
    }

    /** Copies the logs of the processes to the record. */
    void recordLogs() throws IOException {
        for (Run run : runs) {
            for (String line : Files.readAllLines(run.log)) {
                record.line("log of process %d: %s", run.number, line);
            }
        }
    }

    /** Ends all processes, and waits until they have ended. */
    void killAll() {
        runs.forEach(run -> run.process.destroyForcibly().onExit().join());
    }
}
