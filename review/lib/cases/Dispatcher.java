package cases;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One dispatcher: its folder and address, and its processes, which are started by the command of the deploy file. */
final class Dispatcher implements Closeable {
    /** One process. */
    final class Run {
        final int number;
        private final Process process;
        private final String control;

        private Run(int number, Process process, String control) {
            this.number = number;
            this.process = process;
            this.control = control;
        }

        /** Waits until the readiness check says 200 and, on its second address, PING says yes. */
        void awaitReady() throws IOException, InterruptedException {
            for (int i = 0; i < 3_000; i++) {
                if (call("PING").startsWith("200")) {
                    Http.Message ready = Http.call(address, "GET /health/ready HTTP/1.1\r\n", new byte[0], 500);
                    if (ready != null && ready.code() == 200) {
                        record.line("process  %d says yes", number);
                        return;
                    }
                }
                if (!process.isAlive()) {
                    break;
                }
                Thread.sleep(10);
            }
            throw new IOException("process " + number + " does not get ready:\n" + log());
        }

        /** A call on the second address. */
        private String call(String line) {
            try (Socket socket = new Socket()) {
                socket.connect(Http.socketAddress(control), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return "";
            }
        }

        /** SIGKILL. */
        void kill() throws InterruptedException {
            record.line("process  %d gets SIGKILL", number);
            process.destroyForcibly().waitFor();
        }

        /** SIGTERM, and SIGKILL 3.7 s later if it still runs; returns at once. */
        void terminate() {
            record.line("process  %d gets SIGTERM", number);
            process.destroy();
            Http.start(() -> {
                try {
                    if (process.waitFor(3_700, TimeUnit.MILLISECONDS)) {
                        record.line("process  %d has ended with %d", number, process.exitValue());
                    } else {
                        record.line("process  %d gets SIGKILL", number);
                        process.destroyForcibly();
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }

        private String log() throws IOException {
            return Files.readString(folder.resolve("log" + number));
        }
    }

    /** What puts the processes on one core, as the deploy page has it; nothing where there is no taskset. */
    private static final List<String> ONE_CORE = oneCore();

    private final Record record;
    private final Path folder;
    private final Platform platform;
    private final String settingsFile;
    private final List<Run> runs = new ArrayList<>();

    /** The address for clients. */
    final String address;

    /**
     * Writes its configuration.
     *
     * @param settings the object {@code settings} of the configuration
     * @param settingsFile the operator's settings file; empty for deploy/elderseam.ini
     */
    Dispatcher(Record record, Path parent, Platform platform, String settings, String settingsFile) throws IOException {
        this.record = record;
        this.platform = platform;
        this.settingsFile = settingsFile;
        this.address = "127.0.0.1:" + freePort();
        this.folder = Files.createDirectories(parent.resolve("n1"));
        Files.createDirectories(folder.resolve("state"));
        Files.createDirectories(folder.resolve("tmp"));
        Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"n1\",\"listen\":\"" + address + "\",\"discovery\":\"" + platform.address()
                        + "\",\"seed\":\"" + Long.toHexString(ThreadLocalRandom.current().nextLong())
                        + "\",\"limits\":" + Settings.LIMITS + ",\"known\":" + platform.list() + ",\"settings\":" + settings
                        + "}");
    }

    /** A free port below those that the system gives to outgoing connections, which might take it meanwhile. */
    static int freePort() throws IOException {
        for (int tries = 0; tries < 100; tries++) {
            int port = 20_000 + ThreadLocalRandom.current().nextInt(12_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // taken
            }
        }
        throw new IOException("no free port");
    }

    private static List<String> oneCore() {
        try {
            String allowed = Files.readAllLines(Path.of("/proc/self/status")).stream()
                    .filter(line -> line.startsWith("Cpus_allowed_list:"))
                    .findFirst()
                    .orElse("0");
            String[] numbers = allowed.split("[^0-9]+");
            List<String> prefix = List.of("taskset", "-c", numbers[numbers.length - 1]);
            List<String> trial = new ArrayList<>(prefix);
            trial.add("true");
            return new ProcessBuilder(trial).start().waitFor() == 0 ? prefix : List.of();
        } catch (IOException e) {
            return List.of(); // there is no taskset
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What {@code run} says in the deploy file. */
    private static String deployCommand() throws IOException {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
    }

    /** Starts a process; one that starts while another serves takes over from it. */
    Run start() throws IOException {
        int number = runs.size() + 1;
        String control = "127.0.0.1:" + freePort();
        List<String> command = new ArrayList<>(ONE_CORE);
        command.addAll(List.of("/bin/sh", "-c", (deployCommand() + " " + settingsFile).strip()));
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = builder.environment();
        environment.put("RELAY_NAME", "n1");
        environment.put("RELAY_LISTEN", address);
        environment.put("RELAY_DISCOVERY", platform.address());
        environment.put("RELAY_STATE", folder.resolve("state").toString());
        environment.put("RELAY_CONFIG", folder.resolve("config.json").toString());
        environment.put("RELAY_CONTROL", control);
        environment.put("TMPDIR", folder.resolve("tmp").toString());
        builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log" + number).toFile());
        Process process = builder.start();
        process.getOutputStream().close();
        record.line("process  %d is started%s", number, ONE_CORE.isEmpty() ? "" : ", on one core");
        Run run = new Run(number, process, control);
        runs.add(run);
        return run;
    }

    /** Copies the logs of the processes to the record. */
    private void recordLogs() throws IOException {
        for (Run run : runs) {
            run.log().lines().forEach(line -> record.line("log      process %d: %s", run.number, line));
        }
    }

    /** Ends all processes, and waits until they have ended. */
    @Override
    public void close() throws IOException {
        for (Run run : runs) {
            run.process.destroyForcibly().onExit().join();
        }
        recordLogs();
    }
}
