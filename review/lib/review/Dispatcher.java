package review;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One dispatcher: its folder, addresses and process, which is started by the command of the deploy file. */
final class Dispatcher implements Closeable {
    private final Record record;
    private final String name;
    private final Path folder;
    private final String settingsFile;
    private Process process;

    /** The address for clients. */
    final String address;

    /**
     * Writes its configuration.
     *
     * @param settings the object {@code settings} of the configuration
     * @param known the list as this dispatcher last had it
     * @param settingsFile the operator's settings file; empty for deploy/elderseam.ini
     */
    Dispatcher(
            Record record,
            String name,
            Path parent,
            String discovery,
            String settings,
            String known,
            String limits,
            String settingsFile)
            throws IOException {
        this.record = record;
        this.name = name;
        this.settingsFile = settingsFile;
        this.address = "127.0.0.1:" + freePort();
        this.folder = Files.createDirectories(parent.resolve(name));
        Files.createDirectories(folder.resolve("state"));
        Files.createDirectories(folder.resolve("tmp"));
        Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"" + name + "\",\"listen\":\"" + address + "\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\"" + Long.toHexString(new java.util.Random().nextLong()) + "\",\"limits\":"
                        + limits + ",\"known\":" + known + ",\"settings\":" + settings + "}");
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

    Path folder() {
        return folder;
    }

    /** Starts a process by the deploy file's {@code run}, from the root of the repository. */
    void start() throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", ("exec sh deploy/serve.sh " + settingsFile).strip());
        Map<String, String> environment = builder.environment();
        environment.put("RELAY_NAME", name);
        environment.put("RELAY_LISTEN", address);
        String config = Files.readString(folder.resolve("config.json"));
        environment.put("RELAY_DISCOVERY", config.replaceFirst(".*?\"discovery\":\"([^\"]*)\"(?s).*", "$1"));
        environment.put("RELAY_STATE", folder.resolve("state").toString());
        environment.put("RELAY_CONFIG", folder.resolve("config.json").toString());
        environment.put("TMPDIR", folder.resolve("tmp").toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("log.txt").toFile()));
        process = builder.start();
        process.getOutputStream().close();
        record.line("process  %s started", name);
    }

    /** Waits until it answers 200 to the readiness check. */
    void awaitReady() throws IOException, InterruptedException {
        for (int i = 0; i < 600; i++) {
            Http.Message ready = Http.call(address, "GET /health/ready HTTP/1.1\r\n", new byte[0], 500);
            if (ready != null && ready.code() == 200) {
                record.line("process  %s ready", name);
                return;
            }
            if (!process.isAlive()) {
                break;
            }
            Thread.sleep(50);
        }
        throw new IOException(name + " does not get ready:\n" + Files.readString(folder.resolve("log.txt")));
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
        record.line("process  %s killed by SIGKILL", name);
    }

    /** SIGTERM, then SIGKILL 3.7 s later if it still runs. */
    void terminate() throws InterruptedException {
        record.line("process  %s gets SIGTERM", name);
        process.destroy();
        boolean ended = process.waitFor(3_700, TimeUnit.MILLISECONDS);
        if (!ended) {
            process.destroyForcibly().waitFor();
        }
        record.line("process  %s has ended%s", name, ended ? " by itself" : " by SIGKILL");
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }
}
