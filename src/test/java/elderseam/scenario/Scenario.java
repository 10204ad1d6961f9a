package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.handover.HandoverChannel;
import elderseam.handover.HandoverFrame;
import elderseam.scenario.DispatcherProcess.Milestone;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A script against a process of the program, with clients, endpoints and a platform that the test plays. One step a line: PARTY VERB
 * WORDS. The steps run one after another, in the thread of the test.
 * <pre>
 * hN         an upstream host; odd N serve destination 1, even N destination 2
 * platform   discovery and the place for notices; it answers by itself: 204, and the watch
 * relay      the program
 * older      the process before, after "relay wait beside": close kill, close term, wait exit CODE, expect and hangup as relay
 * operator   calls on the second address
 * any other  a client's connection; one whose name begins with e goes to the CloudEvents front
 *
 * send       a client: METHOD PATH; Header: value; ... | body ({64K}: a long one; {in N}: the instant N ms on)    a host: CODE; Header: value | body
 * raw        a client or host: these bytes, \r\n in words; none: a client only connects
 *            platform: a change of the list, answering the watch, or fail, or mute (no answer)
 * expect     the next message there holds each of these parts (set apart by ;); platform: a notice
 * close      a client, host or the platform resets its connections; "close all" of a host, and the platform, stop
 *            listening too (platform start: again); relay: kill, term
 * deaf N     platform: the next N notices get 503      watched MS   the next watch came so soon after an answer, or
 *            after the platform listens again
 * repeat N   platform: writes the answer to a watch that told version N once more, on its connection
 * move       platform: listens elsewhere, and no longer answers on what was opened before
 * pause      relay: SIGSTOP, until it stands; resume: SIGCONT
 * hangup     relay: SIGHUP, with a configuration that names where the platform is, or with a file of these words
 * expect     relay: a line of its log, of this start and not passed over yet, holds these parts (set apart by " ... ")
 *            relay: warming (another process on the same folder has read its configuration, and has not asked for the work
 *            yet: it stands until resume; this one is "older" from then on); beside (another process on the same folder and address has taken over; this one is "older" from then on)
 * ask        operator: this line on the second address -> what the answer holds, each of these parts (set apart by ;)
 * wait       operator: as ask, again and again until the answer holds that
 * wait       for: closed [MS] (the other side ends the connection, within that), quiet MS (nothing comes there), start, drain (begun),
 *            reload (done), kept (the old configuration), exit CODE; ended (as closed, and in order, not reset);
 *            a narrow host: begun (a byte of a request has come, and no more is read; resume: the rest of it is)
 * indent     platform: its lists are indented from now on      linked N   platform: so many connections have come there
 * </pre>
 */
final class Scenario implements AutoCloseable {
    private static final long DEFAULT_DISK_MEGABYTES = 3;
    private static final long ANSWER_LIMIT_NS = 3_000_000_000L; // 1 s on its own cores: the bench sees to that
    private static final String INFO_PREFIX = "edge_relay.";

    private final ScenarioTimeline timeline = new ScenarioTimeline();
    private final ScenarioPause pause = ScenarioPause.fromSystemProperties();
    private final DispatcherLauncher launcher;
    private final FakePlatform platform;
    private final ClientConnections clients = new ClientConnections(this::addressFor, timeline);
    private final Map<String, FakeEndpoint> endpoints = new HashMap<>();
    private final Map<String, ServerSocket> endpointServers = new ConcurrentHashMap<>(); // served by the test itself
    private volatile DispatcherProcess program;
    private DispatcherProcess older;
    private int steps;

    Scenario(Path folder) throws IOException {
        this(folder, DEFAULT_DISK_MEGABYTES);
    }

    Scenario(Path folder, long diskMegabytes) throws IOException {
        for (String name : List.of("h1", "h2", "h3")) {
            endpoints.put(name, new FakeEndpoint(event -> timeline.record(name, event)));
        }
        platform = new FakePlatform(this::listEntry, event -> timeline.record("platform", event));
        launcher = new DispatcherLauncher(folder, diskMegabytes, this::listEntry);
    }

    /** Starts the program, runs a script and ends all. */
    static void play(Path folder, String script) throws Exception {
        try (Scenario scenario = new Scenario(folder)) {
            scenario.start();
            scenario.run(script);
        }
    }

    /** What is set for the next starts of the program. */
    DispatcherLauncher launcher() {
        return launcher;
    }

    /** The process that serves, or the one started last. */
    DispatcherProcess program() {
        return program;
    }

    /** Starts the program and waits until it serves. */
    void start() throws IOException {
        launch();
        program.await(Milestone.CLIENTS_LISTENING);
    }

    /** Starts the program, which need not come to serve. */
    void launch() throws IOException {
        clients.clear();
        program = launcher.launch(platform.address(), line -> timeline.record("program", line));
    }

    /** Runs the steps of a script. */
    void run(String script) throws Exception {
        for (String line : script.strip().split("\n")) {
            if (!line.isBlank()) {
                runLine(line.strip());
            }
        }
    }

    private void runLine(String line) {
        String[] words = line.split(" ", 3);
        try {
            steps++;
            timeline.record("step " + steps, line);
            pause.beforeStep(steps, program, timeline);
            step(words[0], words[1], words.length > 2 ? words[2] : "");
        } catch (AssertionError | Exception e) { // whatever fails, the report names the step
            timeline.record("failed", String.valueOf(e.getMessage()));
            System.out.println(timeline.text());
            throw new AssertionError("at: " + line + ": " + e.getMessage(), e);
        }
    }

    private void step(String party, String verb, String words) throws Exception {
        switch (party) {
            case "relay" -> stepOfProgram(verb, words);
            case "older" -> stepOfOlder(verb, words);
            case "operator" -> ask(words, verb.equals("wait"));
            case "platform" -> platform.step(verb, words);
            default -> {
                if (endpoints.containsKey(party)) {
                    endpoints.get(party).step(verb, words);
                } else {
                    clients.step(party, verb, words);
                }
            }
        }
    }

    private void stepOfProgram(String verb, String words) throws IOException, InterruptedException {
        switch (verb) {
            case "hangup" -> {
                reconfigure(words);
                program.signal("HUP");
            }
            case "expect" -> program.expectLogLine(words);
            case "pause" -> program.pauseByScript();
            case "resume" -> program.resumeByScript();
            default -> awaitProgram(verb, words);
        }
    }

    private void stepOfOlder(String verb, String words) throws IOException, InterruptedException {
        switch (verb) {
            case "hangup" -> {
                reconfigure(words);
                older.signal("HUP");
            }
            case "expect" -> older.expectLogLine(words);
            default -> older.step(verb, words);
        }
    }

    private void reconfigure(String words) throws IOException {
        if (words.isEmpty()) {
            launcher.configure(platform.address());
        } else {
            launcher.writeConfiguration(words);
        }
    }

    private void awaitProgram(String verb, String words) throws IOException, InterruptedException {
        switch (verb + " " + words) {
            case "wait start" -> start();
            case "wait beside" -> startBeside();
            case "wait warming" -> startWarming();
            case "wait drain" -> program.await(Milestone.DRAINING);
            case "wait reload" -> program.await(Milestone.RELOADED);
            case "wait kept" -> program.await(Milestone.RELOAD_REJECTED);
            default -> program.step(verb, words);
        }
    }

    /** Starts a process that takes over from the present one, with which clients keep their connections. */
    private void startBeside() throws IOException {
        older = program;
        program = launcher.launch(platform.address(), line -> timeline.record("program", line));
        program.await(Milestone.CLIENTS_LISTENING);
    }

    /** Starts a process beside the present one, and stops it where it has read its configuration. */
    private void startWarming() throws IOException, InterruptedException {
        older = program;
        program = launcher.launch(platform.address(), line -> timeline.record("program", line));
        program.expectLogLine("handover.warmup_started");
        program.pauseByScript();
    }

    /** Asks on the control address: {@code LINE -> PARTS}; again and again until the answer holds the parts, if so told. */
    private void ask(String words, boolean until) throws IOException {
        String[] lineAndParts = words.split("->");
        String line = lineAndParts[0].strip() + "\n";
        String expected = lineAndParts[1];
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(RawHttpSocket.PATIENCE_S);
        String answer;
        do {
            long asked = System.nanoTime();
            answer = control(line);
            assertTrue(System.nanoTime() - asked < ANSWER_LIMIT_NS, "answered too late");
        } while (until && !answer.contains(expected.strip()) && System.nanoTime() < deadline);
        ScenarioMessages.assertContains(answer, expected);
    }

    /** What these bytes on the control address are answered, to the end of the connection. */
    String control(String line) throws IOException {
        String[] hostAndPort = controlAddress().split(":");
        try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(RawHttpSocket.PATIENCE_S));
            socket.getOutputStream().write(line.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** A number in the answer to INFO, by its name without the prefix of all. */
    long infoValue(String name) throws IOException {
        String start = INFO_PREFIX + name + "=";
        return control("INFO\n")
                .lines()
                .filter(line -> line.startsWith(start))
                .findFirst()
                .map(line -> Long.parseLong(line.substring(start.length())))
                .orElseThrow();
    }

    private String addressFor(String client) throws IOException {
        return client.startsWith("e") ? eventsAddress() : clientAddress();
    }

    /** Where the program listens for clients, once it does. */
    String clientAddress() throws IOException {
        return program.await(Milestone.CLIENTS_LISTENING);
    }

    /** Where the program listens for CloudEvents, once it does. */
    String eventsAddress() throws IOException {
        return program.await(Milestone.EVENTS_LISTENING);
    }

    /** Where the program listens for operators, once it does. */
    String controlAddress() throws IOException {
        return program.await(Milestone.CONTROL_LISTENING);
    }

    /** A channel to the program such as a newer process has, on which it was asked for its state. */
    HandoverChannel requestTransfer() throws Exception {
        controlAddress();
        HandoverChannel channel =
                HandoverChannel.connect(launcher.stateFolder()).orElseThrow();
        channel.send(new HandoverFrame.TransferRequest());
        return channel;
    }

    /** An endpoint by its name. */
    FakeEndpoint endpoint(String name) {
        return endpoints.get(name);
    }

    /** Lists have that endpoint at this socket, which the test itself serves. */
    void setEndpointServer(String name, ServerSocket server) {
        endpointServers.put(name, server);
    }

    /** The notifications that the platform got and that no step expected yet, oldest first. */
    Collection<String> notifications() {
        return platform.notifications();
    }

    /** The JSON of a list's entry for a change, {@code NAME STATE}: odd endpoints serve destination 1, even ones 2. */
    private String listEntry(String change) {
        String[] nameAndState = change.split(" ");
        String name = nameAndState[0];
        ServerSocket server =
                endpointServers.getOrDefault(name, endpoints.get(name).server());
        int destination = name.charAt(1) % 2 == 1 ? 1 : 2;
        return "{\"id\":\"" + name + "\",\"addr\":\"" + RawHttpSocket.address(server)
                + "\",\"zone\":\"z\",\"kind\":\"bank\",\"cell\":" + destination + ",\"state\":\"" + nameAndState[1]
                + "\",\"weight\":50.0,\"started_ms\":0}";
    }

    @Override
    public void close() throws IOException {
        if (older != null) {
            older.destroy();
        }
        if (program != null) {
            program.destroy();
        }
        platform.close();
        for (FakeEndpoint endpoint : endpoints.values()) {
            endpoint.close();
        }
    }
}
