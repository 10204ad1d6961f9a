package elderseam.scenario;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/** Writes the configuration of a scenario's program and starts processes of it, as set for the next start. */
final class DispatcherLauncher {
    /** The most open files that a process may have. */
    private static final int DEFAULT_FILE_LIMIT = 256;

    private static final int DEFAULT_MEMORY_MEGABYTES = 32;
    private static final int DEFAULT_HEAP_MEGABYTES = 64;
    private static final int DEFAULT_DIRECT_MEGABYTES = 64;

    /** {@code debug}: the program logs each step of a request. */
    private static final String REQUEST_LOG_LEVEL = System.getProperty("scenario.requestLog", "info");

    private static final String ANY_PORT = "127.0.0.1:0";
    private static final String LISTED_STATE = " SERVING";

    private final Path folder;
    private final long diskMegabytes;
    private final UnaryOperator<String> listEntry;
    private String address = ANY_PORT;
    private String eventsAddress = ANY_PORT;
    private String settingsLines = "";
    private boolean withControl = true;
    private String jvmFlag = "-Xshare:auto";
    private String shellPrefix = "";
    private int niceness;
    private int fileLimit = DEFAULT_FILE_LIMIT;
    private int memoryMegabytes = DEFAULT_MEMORY_MEGABYTES;
    private int heapMegabytes = DEFAULT_HEAP_MEGABYTES;
    private int directMegabytes = DEFAULT_DIRECT_MEGABYTES;
    private String settings;

    /**
     * Creates a launcher.
     *
     * @param folder of the configuration and the state
     * @param listEntry makes the JSON of a list's entry from {@code NAME STATE}
     */
    DispatcherLauncher(Path folder, long diskMegabytes, UnaryOperator<String> listEntry) {
        this.folder = folder;
        this.diskMegabytes = diskMegabytes;
        this.listEntry = listEntry;
    }

    /** Processes listen at one address of this scenario's own. */
    void useFixedAddress() throws IOException {
        address = RawHttpSocket.own().getHostAddress() + ":8443";
    }

    /** Processes have no control address. */
    void withoutControl() {
        withControl = false;
    }

    /** Processes have no CloudEvents address. */
    void withoutEvents() {
        eventsAddress = "off";
    }

    /** Further lines of the settings file; they begin in its section {@code events}. */
    void setSettingsLines(String lines) {
        settingsLines = lines;
    }

    /** The JSON of the deployment's settings, in place of {@link #defaultSettings}. */
    void setSettings(String json) {
        settings = json;
    }

    /** Processes yield the processor to others, as so many steps of nice do. */
    void setNiceness(int steps) {
        niceness = steps;
    }

    /** Processes have SIGHUP ignored from outside, as under nohup. */
    void ignoreHangUps() {
        shellPrefix = "trap '' HUP; ";
    }

    /** Processes may have so many open files, and so much memory, with the heap and buffers that deploy/serve.sh derives. */
    void setLimits(int files, int megabytes) {
        fileLimit = files;
        memoryMegabytes = megabytes;
        heapMegabytes = Math.max(24, Math.min(64, megabytes - 64));
        directMegabytes = Math.max(6, Math.min(12, megabytes / 12));
    }

    /** A further flag of the JVM. */
    void setJvmFlag(String flag) {
        jvmFlag = flag;
    }

    /** The JSON of the deployment's settings unless a test sets others. */
    static String defaultSettings() throws IOException {
        byte[] json =
                DispatcherLauncher.class.getResourceAsStream("/settings.json").readAllBytes();
        return new String(json, StandardCharsets.UTF_8);
    }

    /** The folder in which processes keep their state. */
    Path stateFolder() {
        return folder.resolve("state");
    }

    /** Writes the configuration and starts a process. {@code logObserver}: takes each line of its log. */
    DispatcherProcess launch(String platformAddress, Consumer<String> logObserver) throws IOException {
        configure(platformAddress);
        Path settingsFile = folder.resolve("elderseam.ini");
        Files.writeString(settingsFile, "[events]\nlisten = " + eventsAddress + "\nremember_s = 60\n" + settingsLines);
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                shellPrefix + "ulimit -n " + fileLimit + "; exec nice -n " + niceness + " \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                jvmFlag,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx" + heapMegabytes + "m",
                "-XX:MaxDirectMemorySize=" + directMegabytes + "m",
                "-Dorg.slf4j.simpleLogger.log.elderseam.core.RequestLog=" + REQUEST_LOG_LEVEL,
                "-cp",
                System.getProperty("java.class.path"),
                "elderseam.Main",
                "serve",
                settingsFile.toString());
        Map<String, String> environment = builder.environment();
        environment.put("RELAY_NAME", "n1");
        environment.put("RELAY_LISTEN", address);
        environment.put("RELAY_DISCOVERY", platformAddress);
        environment.put("RELAY_STATE", stateFolder().toString());
        environment.put("RELAY_CONFIG", configurationFile().toString());
        if (withControl) {
            environment.put("RELAY_CONTROL", ANY_PORT);
        }
        return new DispatcherProcess(builder.redirectErrorStream(true).start(), logObserver);
    }

    private Path configurationFile() {
        return folder.resolve("config.json");
    }

    /** Writes these words in place of a configuration. */
    void writeConfiguration(String words) throws IOException {
        Files.writeString(configurationFile(), words);
    }

    /** Writes a configuration that names the platform's address and lists the first two endpoints. */
    void configure(String platformAddress) throws IOException {
        String deployment = settings == null ? defaultSettings() : settings;
        String endpoints = listEntry.apply("h1" + LISTED_STATE) + "," + listEntry.apply("h2" + LISTED_STATE);
        writeConfiguration("{\"name\":\"n1\",\"seed\":\"8c1f30d27a5be964\",\"discovery\":\"" + platformAddress
                + "\",\"limits\":{\"sockets\":" + fileLimit + ",\"memory_mb\":" + memoryMegabytes + ",\"disk_mb\":"
                + diskMegabytes
                + "},\"known\":{\"version\":1,\"full\":true,\"servers\":[" + endpoints + "]},\"settings\":"
                + deployment + "}");
    }
}
