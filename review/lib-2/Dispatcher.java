package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of the dispatcher, started by the deploy file's command from the root of the repository. */
final class Dispatcher {
    private final Record record;
    private final String name;
    private final Process process;
    private final String address;
    private final String control;

    Dispatcher(Record record, String name, Path root, Map<String, String> variables, String settingsFile)
            throws IOException {
        this.record = record;
        this.name = name;
        this.address = variables.get("RELAY_LISTEN");
        this.control = variables.getOrDefault("RELAY_CONTROL", "");
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", "exec sh deploy/serve.sh " + settingsFile).directory(root.toFile());
        builder.environment().keySet().removeIf(variable -> variable.startsWith("RELAY_"));
        builder.environment().putAll(variables);
        process = builder.redirectErrorStream(true).start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        record.line(name, "started");
        Server.daemon(this::readLog);
    }

    private void readLog() {
        try (BufferedReader log = new BufferedReader(new InputStreamReader(process.getInputStream()))) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                record.line(name, "| " + line);
            }
        } catch (IOException e) {
            // it has ended
        }
    }

    /** Whether GET /health/ready answers 200 within so long. */
    boolean awaitReady(long ms) throws InterruptedException {
        long end = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < end && process.isAlive()) {
            Http answer = Client.call(address, "GET /health/ready HTTP/1.1", Map.of(), new byte[0], 1_000);
            if (answer != null && answer.status() == 200) {
                record.line(name, "ready");
                return true;
            }
            Thread.sleep(20);
        }
        record.line(name, "not ready, " + (process.isAlive() ? "running" : "ended with " + process.exitValue()));
        return false;
    }

    /** The answer to a line on the control address; "" where there is none. */
    String command(String line) {
        int colon = control.indexOf(':');
        try (Socket socket = new Socket()) {
            int port = Integer.parseInt(control.substring(colon + 1));
            socket.connect(new InetSocketAddress(control.substring(0, colon), port), 1_500);
            socket.setSoTimeout(1_500);
            OutputStream out = socket.getOutputStream();
            out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    /** Whether PING answers 200 within so long. */
    boolean awaitPing(long ms) throws InterruptedException {
        long end = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < end && process.isAlive()) {
            if (command("PING").startsWith("200")) {
                record.line(name, "PING: yes");
                return true;
            }
            Thread.sleep(20);
        }
        record.line(name, "PING: no yes, " + (process.isAlive() ? "running" : "ended with " + process.exitValue()));
        return false;
    }

    String controlAddress() {
        return control;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    boolean awaitExit(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** SIGKILL, and waits for the end. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
        record.line(name, "SIGKILL, ended");
    }

    /** Sends a signal by its name without SIG. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        record.line(name, "SIG" + signal);
    }
}
