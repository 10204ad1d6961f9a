package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import elderseam.handover.HandoverChannel;
import elderseam.handover.HandoverFrame;
import elderseam.testkit.LogLine;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A script against the program itself, a step a line: PARTY VERB WORDS.
 * <pre>
 * hN         an upstream host; odd N serve destination 1, even N destination 2
 * platform   discovery and the place for notices; it answers by itself: 204, and the watch
 * relay      the program
 * older      the process before, after "relay wait beside": close kill, close term, wait exit CODE
 * operator   calls on the second address
 * any other  a client's connection; one whose name begins with e goes to the CloudEvents front
 *
 * send       a client: METHOD PATH; Header: value; ... | body ({64K}: a long one; {in N}: the instant N ms on)    a host: CODE; Header: value | body
 * raw        a client or host: these bytes, \r\n in words; none: a client only connects
 *            platform: a change of the list, answering the watch, or fail, or mute (no answer)
 * expect     the next message there holds each of these parts (set apart by ;); platform: a notice
 * close      a client, host or the platform resets its connections; "close all" of a host, and the platform, stop
 *            listening too (platform start: again); relay: kill, term
 * deaf N     platform: the next N notices get 503      watched MS   the next watch came so soon after an answer
 * move       platform: listens elsewhere, and no longer answers on what was opened before
 * pause      relay: SIGSTOP, until it stands; resume: SIGCONT
 * hangup     relay: SIGHUP, with a configuration that names where the platform is, or with a file of these words
 * expect     relay: a line of its log, of this start and not passed over yet, holds these parts (set apart by " ... ")
 *            relay: beside (another process on the same folder and address has taken over; this one is "older" from then on)
 * ask        operator: this line on the second address -> what the answer holds, each of these parts (set apart by ;)
 * wait       operator: as ask, again and again until the answer holds that
 * wait       for: closed [MS] (the other side ends the connection, within that), quiet MS (nothing comes there), start, drain (begun),
 *            reload (done), kept (the old configuration), exit CODE; ended (as closed, and in order, not reset);
 *            a narrow host: begun (a byte of a request has come, and no more is read; resume: the rest of it is)
 * indent     platform: its lists are indented from now on      linked N   platform: so many connections have come there
 * </pre>
 */
final class Scenario implements AutoCloseable {
    /** A host sees a close within this: Undertow's own close drains for 10 s before it ends the socket. */
    private static final int CLOSED_S = 5;

    private static final int SOCKETS = 256; // the program is held to it

    private final Path folder;
    private final Map<String, RawHttpSocket.Link> links = new HashMap<>();
    private final Map<String, Host> hosts = new HashMap<>();
    private final Map<String, ServerSocket> places = new ConcurrentHashMap<>();
    private final BlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private volatile News news = new News();
    private final BlockingQueue<Long> gaps = new LinkedBlockingQueue<>(); // ms from an answer to the next watch
    private final List<RawHttpSocket.Link> platformLinks = new ArrayList<>();
    private final InetAddress place = RawHttpSocket.own(); // of the platform
    private ServerSocket platform;
    private volatile long answered = System.nanoTime();
    private final long diskMb;
    private final AtomicInteger rejectedNotifications = new AtomicInteger();
    private Process program;
    private Process older;
    private String address = "127.0.0.1:0";
    private final Map<Character, CompletableFuture<String>> fronts = new ConcurrentHashMap<>();
    private BlockingQueue<String> said = new LinkedBlockingQueue<>();
    private String events = "";
    private String listen = "127.0.0.1:0";
    private int nice;
    private boolean operated = true;
    private String flag = "-Xshare:auto";
    private String trap = "";
    private String settings;
    private volatile boolean indented;

    /**
     * Changes of the list, told to each watch that has not heard of them; "fail" and "mute" befall one watch. Changes and version are read
     * in one step: a watch that was given up must take no change along, and none be told a version without its change.
     */
    private static final class News {
        private static final int FIRST = 2; // the configuration's list is version 1
        private final List<String> changes = new ArrayList<>();
        private final List<String> tricks = new ArrayList<>();

        synchronized void add(String words) {
            (words.equals("fail") || words.equals("mute") ? tricks : changes).add(words);
            notifyAll();
        }

        record Told(List<String> changes, int version) {}

        /** What is newer than that version, awaited for so many looks of 50 ms; null where the watch has been given up. */
        synchronized Told since(int seen, RawHttpSocket.Link link, int looks) throws InterruptedException {
            for (int i = 0; i < looks; i++) {
                if (link.read.contains(RawHttpSocket.ENDED)) {
                    return null;
                }
                if (!tricks.isEmpty()) {
                    return new Told(List.of(tricks.remove(0)), seen);
                }
                int told = Math.max(0, seen - FIRST + 1);
                if (told < changes.size()) {
                    return new Told(List.copyOf(changes.subList(told, changes.size())), FIRST - 1 + changes.size());
                }
                wait(50);
            }
            return new Told(List.of(), Math.max(seen, FIRST - 1));
        }
    }

    /** A stand-in upstream host. */
    private static final class Host {
        record Asked(RawHttpSocket.Link link, String message) {}

        final BlockingQueue<Asked> asked = new LinkedBlockingQueue<>();
        final List<RawHttpSocket.Link> links = new ArrayList<>();
        final BlockingQueue<Socket> narrow = new LinkedBlockingQueue<>(); // connections of which nothing is read yet
        final ServerSocket server;
        RawHttpSocket.Link last;
        Socket begun;
        boolean narrows;

        Host() throws IOException {
            server = RawHttpSocket.listen(RawHttpSocket.own(), 0, socket -> {
                if (narrows) {
                    narrow.add(socket);
                } else {
                    take(socket);
                }
            });
        }

        private synchronized void take(Socket socket) {
            RawHttpSocket.Link[] link = new RawHttpSocket.Link[1];
            synchronized (links) {
                link[0] = new RawHttpSocket.Link(socket, m -> {
                    synchronized (links) {
                        asked.add(new Asked(link[0], m));
                    }
                });
                links.add(link[0]);
            }
        }
    }

    Scenario(Path folder) throws IOException {
        this(folder, 3);
    }

    Scenario(Path folder, long diskMb) throws IOException {
        this.folder = folder;
        this.diskMb = diskMb;
        for (String name : List.of("h1", "h2", "h3")) {
            hosts.put(name, new Host());
        }
        listen(0);
    }

    private void listen(int port) throws IOException {
        platform = RawHttpSocket.listen(place, port, socket -> {
            RawHttpSocket.Link[] link = new RawHttpSocket.Link[1];
            synchronized (links) {
                link[0] = new RawHttpSocket.Link(socket, m -> answer(link, m));
                platformLinks.add(link[0]);
            }
        });
    }

    static void play(Path folder, String script) throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.start();
            s.run(script);
        }
    }

    void run(String script) throws Exception {
        for (String line : script.strip().split("\n")) {
            if (!line.isBlank()) {
                String[] part = line.strip().split(" ", 3);
                try {
                    step(part[0], part[1], part.length > 2 ? part[2] : "");
                } catch (AssertionError | Exception e) {
                    throw new AssertionError("at: " + line.strip() + ": " + e.getMessage(), e);
                }
            }
        }
    }

    private void step(String party, String verb, String words) throws Exception {
        if (party.equals("relay")) {
            relay(verb, words);
        } else if (party.equals("older")) {
            process(older, verb, words);
        } else if (party.equals("operator")) {
            ask(words.split("->"), verb.equals("wait"));
        } else if (party.equals("platform")) {
            platform(verb, words);
        } else if (hosts.containsKey(party)) {
            host(hosts.get(party), verb, words);
        } else {
            client(party, verb, words);
        }
    }

    private static boolean containsAll(String line, String... parts) {
        return Stream.of(parts).allMatch(line::contains);
    }

    private void relay(String verb, String words) throws Exception {
        if (verb.equals("hangup")) {
            configure(words);
            signal("HUP");
            return;
        }
        if (verb.equals("expect")) {
            String line;
            do {
                line = said.poll(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS);
                assertNotNull(line, "the log does not say so");
            } while (!containsAll(line, words.split(" \\.\\.\\. ")));
            return;
        }
        if (verb.equals("pause") || verb.equals("resume")) {
            signal(verb.equals("pause") ? "STOP" : "CONT");
            while (verb.equals("pause") && !stat(program.pid()).startsWith("T")) {
                Thread.onSpinWait();
            }
            return;
        }
        switch (verb + " " + words) {
            case "wait start" -> start();
            case "wait beside" -> {
                Map<String, RawHttpSocket.Link> kept = Map.copyOf(links);
                older = program;
                launch();
                links.putAll(kept);
                front('c');
            }
            case "wait drain" -> front('d');
            case "wait reload" -> front('r');
            case "wait kept" -> front('k');
            default -> process(program, verb, words);
        }
    }

    private static void process(Process p, String verb, String words) throws InterruptedException {
        switch (verb + " " + words) {
            case "close kill" -> p.destroyForcibly().waitFor();
            case "close term" -> p.toHandle().destroy(); // the process's own destroy() closes its log, too
            default -> {
                assertTrue(p.waitFor(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS), "still running");
                assertEquals("wait exit " + p.exitValue(), verb + " " + words);
            }
        }
    }

    private void ask(String[] part, boolean until) throws Exception {
        String answer;
        long last = System.nanoTime() + RawHttpSocket.PATIENCE_S * 1_000_000_000L;
        do {
            long since = System.nanoTime();
            answer = told(part[0].strip() + "\n");
            assertTrue(
                    System.nanoTime() - since < 3_000_000_000L,
                    "answered too late"); // 1 s on its own cores: the bench sees to that
        } while (until && !answer.contains(part[1].strip()) && System.nanoTime() < last);
        holds(answer, part[1]);
    }

    /** What these bytes on the second address are answered, to the end of the connection. */
    String told(String line) throws Exception {
        String[] at = front('o').split(":");
        try (Socket s = new Socket(at[0], Integer.parseInt(at[1]))) {
            s.setSoTimeout(1_000 * (int) RawHttpSocket.PATIENCE_S);
            s.getOutputStream().write(line.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            return new String(s.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.ISO_8859_1);
        }
    }

    /** A figure as INFO has it. */
    long figure(String name) throws Exception {
        return told("INFO\n")
                .lines()
                .filter(l -> l.startsWith("edge_relay." + name + "="))
                .findFirst()
                .map(l -> Long.parseLong(l.substring(l.indexOf('=') + 1)))
                .orElseThrow();
    }

    private void signal(String name) throws Exception {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + program.pid())
                .start()
                .waitFor();
    }

    /** The state of a process, and what follows it there. */
    static String stat(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        return stat.substring(stat.lastIndexOf(')') + 2);
    }

    /** CPU that the program has used, in hundredths of a second. */
    long ticks() throws IOException {
        String[] stat = stat(pid()).split(" ");
        return Long.parseLong(stat[11]) + Long.parseLong(stat[12]);
    }

    /** Its memory, in kB. */
    long resident() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS:"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }

    private void platform(String verb, String words) throws Exception {
        switch (verb) {
            case "send" -> news.add(words);
            case "deaf" -> rejectedNotifications.set(Integer.parseInt(words));
            case "indent" -> indented = true;
            case "linked" -> assertEquals(Integer.parseInt(words), platformLinks.size(), "connections");
            case "close" -> {
                platform.close();
                for (RawHttpSocket.Link link : List.copyOf(platformLinks)) {
                    link.reset();
                }
            }
            case "move" -> {
                platform.close();
                synchronized (links) {
                    platformLinks.clear();
                }
                news = new News();
                listen(0);
            }
            case "start" -> listen(platform.getLocalPort());
            case "watched" -> {
                Long gap = gaps.poll(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS);
                assertTrue(gap != null && gap <= Long.parseLong(words), "next watch after " + gap + " ms");
            }
            case "expect" -> holds(notices.poll(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS), words);
            default -> quiet(notices, words);
        }
    }

    private void host(Host h, String verb, String words) throws Exception {
        switch (verb) {
            case "expect" -> {
                Host.Asked asked = h.asked.poll(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS);
                assertNotNull(asked, "no request came");
                h.last = asked.link;
                h.last.read.remove(asked.message);
                holds(asked.message, words);
            }
            case "resume" -> h.take(h.begun);
            case "send" -> h.last.write(response(words));
            case "raw" -> h.last.write(bytes(words));
            case "end" -> h.last.socket.shutdownOutput();
            case "close" -> {
                if (words.equals("all")) {
                    h.server.close();
                }
                for (RawHttpSocket.Link link : List.copyOf(h.links)) {
                    link.reset();
                }
            }
            default -> {
                if (words.equals("begun")) {
                    h.begun = h.narrow.poll(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS);
                    assertNotNull(h.begun, "no connection came");
                    assertEquals('P', h.begun.getInputStream().read(), "the first byte of POST");
                } else if (words.equals("closed")) {
                    assertEquals(RawHttpSocket.ENDED, h.last.read.poll(CLOSED_S, TimeUnit.SECONDS));
                } else {
                    quiet(h.asked, words);
                }
            }
        }
    }

    private void client(String name, String verb, String words) throws Exception {
        switch (verb) {
            case "send" -> {
                RawHttpSocket.Link link = link(name); // the front is ready first: an instant counts from the sending
                link.write(request(instants(words)));
            }
            case "raw" -> link(name).write(bytes(words));
            case "expect" -> holds(link(name).next(), words);
            case "close" -> links.remove(name).reset();
            case "end" -> links.get(name).socket.shutdownOutput();
            default -> {
                RawHttpSocket.Link link = links.get(name);
                closed(name, words.equals("ended") ? "closed" : words);
                assertTrue(!words.equals("ended") || !link.reset, "the connection was reset");
            }
        }
    }

    private void closed(String name, String words) throws InterruptedException {
        assertEquals(
                RawHttpSocket.ENDED,
                links.remove(name)
                        .read
                        .poll(
                                words.equals("closed")
                                        ? 1_000 * RawHttpSocket.PATIENCE_S
                                        : Long.parseLong(words.substring(7)),
                                TimeUnit.MILLISECONDS));
    }

    /** {in N}: the instant N ms from now. */
    private static String instants(String words) {
        return Pattern.compile("\\{in (\\d+)}")
                .matcher(words)
                .replaceAll(m ->
                        Instant.now().plusMillis(Long.parseLong(m.group(1))).toString());
    }

    private RawHttpSocket.Link link(String name) throws IOException {
        if (!links.containsKey(name)) {
            String[] at = front(name.charAt(0) == 'e' ? 'e' : 'c').split(":");
            links.put(name, new RawHttpSocket.Link(new Socket(at[0], Integer.parseInt(at[1])), m -> {}));
        }
        return links.get(name);
    }

    /** Whether that front has told where it listens. */
    boolean listens(char which) {
        return fronts.get(which).isDone();
    }

    /** Where a front (c or e) listens, once it does; d: once the program drains. */
    String front(char which) throws IOException {
        try {
            return fronts.get(which).get(RawHttpSocket.PATIENCE_S, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new IOException("front " + which + " does not listen: " + e);
        }
    }

    /** The next starts yield the processor to others, as so many steps of nice do. */
    void yielding(int nice) {
        this.nice = nice;
    }

    /** The next starts have SIGHUP ignored from outside, as under nohup. */
    void deafToHangUps() {
        trap = "trap '' HUP; ";
    }

    /** A further flag of the JVM of the next starts. */
    void flags(String flag) {
        this.flag = flag;
    }

    /** The deployment's settings unless told otherwise. */
    static String settings() throws IOException {
        return new String(Scenario.class.getResourceAsStream("/settings.json").readAllBytes(), StandardCharsets.UTF_8);
    }

    /** The next starts are of a deployment with these settings. */
    void settings(String json) {
        settings = json;
    }

    /** That host accepts connections from now on, and reads nothing of them; its window is small. */
    void narrow(String host) throws IOException {
        hosts.get(host).server.setReceiveBufferSize(4_096);
        hosts.get(host).narrows = true;
    }

    /** Lists have that host at this socket, which the test itself serves. */
    void place(String host, ServerSocket at) {
        places.put(host, at);
    }

    /** What the platform was told so far, in that order, and not yet expected. */
    java.util.Collection<String> told() {
        return notices;
    }

    /** Further lines for the settings of the next start, in the section of events to begin with. */
    void events(String lines) {
        events = lines;
    }

    /** Starts listen at one address of this scenario's own. */
    void fixed() throws IOException {
        address = RawHttpSocket.own().getHostAddress() + ":8443";
    }

    /** A channel to the program such as a newer process has, on which it was asked for its state. */
    HandoverChannel asking() throws IOException {
        front('o');
        HandoverChannel channel = HandoverChannel.connect(state()).orElseThrow();
        channel.send(new HandoverFrame.TransferRequest());
        return channel;
    }

    /** The next start has no second address. */
    void withoutControl() {
        operated = false;
    }

    /** The next start has no second front. */
    void withoutEvents() {
        listen = "off";
    }

    private static void quiet(BlockingQueue<?> queue, String words) throws InterruptedException {
        Object came = queue.poll(Integer.parseInt(words.replace("quiet ", "")), TimeUnit.MILLISECONDS);
        assertEquals(null, came, "something came");
    }

    private static void holds(String message, String parts) {
        assertNotNull(message, "nothing came");
        for (String part : parts.split(";")) {
            assertTrue(
                    message.toLowerCase(Locale.ROOT).contains(part.strip().toLowerCase(Locale.ROOT)),
                    "no '" + part.strip() + "' in " + message);
        }
    }

    private static String bytes(String words) {
        return words.replace("\\r\\n", "\r\n").replace("{64K}", "x".repeat(64 << 10));
    }

    private static String response(String words) {
        String[] body = words.split("\\|", 2);
        String[] part = body[0].split(";");
        StringBuilder headers = new StringBuilder();
        for (int i = 1; i < part.length; i++) {
            headers.append(part[i].strip()).append("\r\n");
        }
        return RawHttpSocket.answer(
                Integer.parseInt(part[0].strip()), headers.toString(), body.length > 1 ? body[1].strip() : "");
    }

    private static String request(String words) {
        String[] body = words.split("\\|", 2);
        String text = body.length > 1 ? body[1].strip().replace("{64K}", "x".repeat(64 << 10)) : "";
        String[] part = body[0].split(";");
        StringBuilder head = new StringBuilder(part[0].strip()).append(" HTTP/1.1\r\nHost: api.internal\r\n");
        for (int i = 1; i < part.length; i++) {
            head.append(part[i].strip()).append("\r\n");
        }
        return head + "Content-Length: " + text.length() + "\r\n\r\n" + text;
    }

    /** The platform's own part: watches wait for a change of the list, notices are acknowledged unless deaf. */
    private void answer(RawHttpSocket.Link[] of, String message) {
        Thread t = new Thread(() -> {
            try {
                RawHttpSocket.Link link;
                synchronized (links) {
                    link = of[0];
                    if (!platformLinks.contains(link)) {
                        return;
                    }
                }
                if (message.startsWith("POST /status")) {
                    if (rejectedNotifications.getAndDecrement() > 0) {
                        link.write(RawHttpSocket.answer(503, "", ""));
                        return;
                    }
                    message.substring(message.indexOf("\r\n\r\n") + 4).lines().forEach(notices::add);
                    link.write("HTTP/1.1 204 x\r\n\r\n");
                    return;
                }
                gaps.add((System.nanoTime() - answered) / 1_000_000);
                News from = news;
                java.util.regex.Matcher after =
                        java.util.regex.Pattern.compile("after=(\\d+)").matcher(message);
                int seen = after.find() ? Integer.parseInt(after.group(1)) : 0;
                News.Told heard = from.since(seen, link, seen > 0 ? 100 : 1);
                List<String> since = heard == null ? null : heard.changes;
                if (since == null || since.contains("mute")) {
                    return;
                }
                if (since.contains("fail")) {
                    link.reset();
                    return;
                }
                StringBuilder entries = new StringBuilder();
                since.forEach(c ->
                        entries.append(entries.isEmpty() ? "" : ",").append(entry(c.split(" ")[0], c.split(" ")[1])));
                String list = "{\"version\":" + heard.version + ",\"full\":false,\"servers\":[" + entries + "]}";
                link.write(RawHttpSocket.answer(200, "", indented ? indent(list) : list));
                answered = System.nanoTime();
            } catch (IOException | InterruptedException e) {
                // the program has gone
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private static String indent(String list) {
        return list.replaceAll("([{\\[]|,(?=[\"{]))", "$1\n\t ")
                .replace("\":", "\" : ")
                .replaceAll("([}\\]])", "\r\n  $1");
    }

    private String entry(String name, String state) {
        return "{\"id\":\"" + name + "\",\"addr\":\""
                + RawHttpSocket.address(places.getOrDefault(name, hosts.get(name).server))
                + "\",\"zone\":\"z\","
                + "\"kind\":\"bank\",\"cell\":" + (name.charAt(1) % 2 == 1 ? 1 : 2) + ",\"state\":\"" + state
                + "\",\"weight\":50.0,\"started_ms\":0}";
    }

    /** Starts the program and waits until it serves. */
    void start() throws Exception {
        launch();
        front('c');
    }

    /** Starts the program, which need not come to serve. */
    void launch() throws Exception {
        configure("");
        Files.writeString(
                folder.resolve("elderseam.ini"), "[events]\nlisten = " + listen + "\nremember_s = 60\n" + events);
        ProcessBuilder b = new ProcessBuilder(
                "sh",
                "-c",
                trap + "ulimit -n " + SOCKETS + "; exec nice -n " + nice + " \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                flag,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "elderseam.Main",
                "serve",
                folder.resolve("elderseam.ini").toString());
        b.environment()
                .putAll(Map.of(
                        "RELAY_NAME",
                        "n1",
                        "RELAY_LISTEN",
                        address,
                        "RELAY_DISCOVERY",
                        RawHttpSocket.address(platform),
                        "RELAY_STATE",
                        folder.resolve("state").toString(),
                        "RELAY_CONFIG",
                        folder.resolve("config.json").toString()));
        if (operated) {
            b.environment().put("RELAY_CONTROL", "127.0.0.1:0");
        }
        links.clear();
        program = b.redirectErrorStream(true).start();
        CompletableFuture<String> serving = new CompletableFuture<>();
        CompletableFuture<String> eventing = new CompletableFuture<>();
        CompletableFuture<String> draining = new CompletableFuture<>();
        CompletableFuture<String> reloaded = new CompletableFuture<>();
        CompletableFuture<String> kept = new CompletableFuture<>();
        CompletableFuture<String> operating = new CompletableFuture<>();
        fronts.putAll(Map.of('c', serving, 'e', eventing, 'd', draining, 'r', reloaded, 'k', kept, 'o', operating));
        BufferedReader log = program.inputReader();
        BlockingQueue<String> words = new LinkedBlockingQueue<>();
        said = words;
        String[] at = new String[1];
        Thread reader = new Thread(() -> {
            try (Stream<String> lines = log.lines()) {
                lines.forEach(line -> {
                    System.out.println("  | " + line);
                    words.add(line);
                    LogLine logged = LogLine.parse(line).orElse(null);
                    switch (logged == null ? "" : logged.event()) {
                        case "cloudevents.listening" -> eventing.complete(logged.field("address"));
                        case "control.listening" -> operating.complete(logged.field("address"));
                        case "shutdown.started" -> draining.complete(line);
                        case "reload.applied" -> reloaded.complete(line);
                        case "reload.rejected" -> kept.complete(line);
                        case "server.listening" -> at[0] = logged.field("address");
                        case "server.ready" -> serving.complete(at[0]);
                        default -> {
                            // another event, or a line of a stack trace
                        }
                    }
                });
            } catch (RuntimeException e) {
                // ended
            }
            serving.completeExceptionally(new IOException("the program ended"));
        });
        reader.setDaemon(true);
        reader.start();
    }

    /** Writes the configuration, or these words in its place. */
    private void configure(String words) throws IOException {
        String told = settings == null ? settings() : settings;
        Files.writeString(
                folder.resolve("config.json"),
                !words.isEmpty()
                        ? words
                        : "{\"name\":\"n1\",\"seed\":\"8c1f30d27a5be964\",\"discovery\":\""
                                + RawHttpSocket.address(platform)
                                + "\",\"limits\":{\"sockets\":" + SOCKETS + ",\"memory_mb\":32,\"disk_mb\":" + diskMb
                                + "},\"known\":{\"version\":1,\"full\":true,\"servers\":["
                                + entry("h1", "SERVING") + "," + entry("h2", "SERVING") + "]},\"settings\":" + told
                                + "}");
    }

    long pid() {
        return program.pid();
    }

    Path state() {
        return folder.resolve("state");
    }

    @Override
    public void close() throws IOException {
        for (Process p : new Process[] {older, program}) {
            if (p != null) {
                p.destroyForcibly().onExit().join();
            }
        }
        platform.close();
        for (Host h : hosts.values()) {
            h.server.close();
        }
    }
}
