package elderseam.testkit.ordering;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of the program: started, signalled and waited for. Confined to one thread. */
final class ServedProcess {
    private static final int READY_TIMEOUT_MS = 30_000;
    private static final int READY_POLL_MS = 20;
    private static final int ANSWER_TIMEOUT_MS = 400;
    private static final String READINESS_REQUEST =
            "GET /health/ready HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";

    private final Process process;

    private ServedProcess(Process process) {
        this.process = process;
    }

    /**
     * Starts a process.
     *
     * @param log takes its output
     * @param variables the RELAY variables of its environment
     */
    static ServedProcess start(ProcessLog log, Path settings, Map<String, String> variables) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-Xmx64m",
                "-Dorg.slf4j.simpleLogger.log.elderseam.core=debug",
                "-cp",
                System.getProperty("java.class.path"),
                "elderseam.Main",
                "serve",
                settings.toString());
        builder.environment().keySet().removeIf(variable -> variable.startsWith("RELAY_"));
        builder.environment().putAll(variables);
        Process process = builder.redirectErrorStream(true).start();
        log.follow(process);
        return new ServedProcess(process);
    }

    /** Waits until the process that listens there says that it is ready. */
    static void awaitReady(InetSocketAddress address) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (!isReady(address)) {
            if (System.nanoTime() > deadline) {
                throw new IOException("the dispatcher is not ready after " + READY_TIMEOUT_MS + " ms");
            }
            Thread.sleep(READY_POLL_MS);
        }
    }

    private static boolean isReady(InetSocketAddress address) {
        try (HttpConnection connection = HttpConnection.connect(address, ANSWER_TIMEOUT_MS)) {
            connection.write(READINESS_REQUEST);
            HttpConnection.Message answer = connection.read(ANSWER_TIMEOUT_MS);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal by its name without SIG. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                .start()
                .waitFor();
    }

    /** Whether it has ended within that time. */
    boolean endsWithin(long waitMs) throws InterruptedException {
        return process.waitFor(waitMs, TimeUnit.MILLISECONDS);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Kills it, and waits for its end. */
    void kill() {
        process.destroyForcibly().onExit().join();
    }
}
