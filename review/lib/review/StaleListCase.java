package review;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Three dispatchers of a fleet in which one watches discovery for all. Two of them, the watching one among them, are
 * killed; while they are down an endpoint is replaced, and another partner gets its address. They come back.
 */
final class StaleListCase {
    private static final int MEMBERS = 3;
    private static final long DOWN_MS = 600;
    private static final long GRACE_MS = 2_050; // 2 s, and the 50 ms of sockets
    private static final long KNOWN_MS = 6_000; // a change counts as told so long after discovery had it, whatever else
    private static final long SEND_MS = 16_000;
    private static final Pattern AFTER = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");

    private final Record record;
    private final boolean trouble;
    private final List<Agent> agents = new ArrayList<>();
    private String entries;
    private int version = 41;
    private volatile long replacedMs = Long.MAX_VALUE;
    private final Map<String, Long> strays = new ConcurrentHashMap<>(); // messages for 7 at the address of 8, and when

    /** Discovery as one dispatcher sees it. */
    private final class Agent implements Closeable {
        private final Http.Server server = new Http.Server(0, this::answer);
        private final String name;
        private final AtomicInteger calls = new AtomicInteger();
        private volatile long toldMs = Long.MAX_VALUE; // of the replacement

        Agent(String name) throws IOException {
            this.name = name;
        }

        private String answer(Http.Message request, Socket connection) throws InterruptedException {
            if (request.start().startsWith("POST /status")) {
                return "HTTP/1.1 204 x\r\n\r\n";
            }
            calls.incrementAndGet();
            Matcher watch = AFTER.matcher(request.path());
            int after = watch.find() ? Integer.parseInt(watch.group(1)) : 0;
            String list = list(after, after == 0 ? 0 : Long.parseLong(watch.group(2)));
            if (list.contains("s-7b") && toldMs == Long.MAX_VALUE) {
                toldMs = record.ms();
                record.line("told     %s: s-7a is gone, s-7b and s-8b are there", name);
            }
            return Http.response(200, "", list);
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private StaleListCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    static int run(Record record, boolean trouble, Path folder) throws Exception {
        StaleListCase run = new StaleListCase(record, trouble);
        try {
            return run.run(folder);
        } finally {
            for (Agent agent : run.agents) {
                agent.close();
            }
        }
    }

    private synchronized String list(int after, long waitMs) throws InterruptedException {
        long endNs = System.nanoTime() + waitMs * 1_000_000;
        while (version <= after && System.nanoTime() < endNs) {
            wait(Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
        }
        boolean unchanged = version <= after;
        return "{\"version\":" + version + ",\"full\":" + !unchanged + ",\"servers\":[" + (unchanged ? "" : entries) + "]}";
    }

    private synchronized void replace(String newEntries) {
        entries = newEntries;
        version++;
        replacedMs = record.ms();
        record.line("list     s-7a is gone; s-7b serves 7; s-8b serves 8 at the address that s-7a had");
        notifyAll();
    }

    private int run(Path folder) throws Exception {
        String settings = Settings.of(
                MEMBERS, "\"wdh-1\"", Settings.service("rent-payment", "once", "all", 2_000, 28_000, 5_000));
        try (Http.Server first = new Http.Server(0, this::receiveAtFirst);
                Http.Server second = new Http.Server(0, (request, link) -> receive("s-7b", request));
                Http.Server third = new Http.Server(0, (request, link) -> receive("s-8a", request))) {
            String old = Platform.entry("s-7a", first.address(), "wdh-1", "bank", 7) + ","
                    + Platform.entry("s-8a", third.address(), "wdh-1", "bank", 8);
            String fresh = Platform.entry("s-7b", second.address(), "wdh-1", "bank", 7) + ","
                    + Platform.entry("s-8b", first.address(), "wdh-1", "bank", 8) + ","
                    + Platform.entry("s-8a", third.address(), "wdh-1", "bank", 8);
            entries = old;
            List<String> peers = new ArrayList<>();
            for (int i = 1; i <= MEMBERS; i++) {
                peers.add("n" + i + "=127.0.0.1:" + Dispatcher.freePort());
            }
            List<Dispatcher> dispatchers = new ArrayList<>();
            try {
                for (int i = 0; i < MEMBERS; i++) {
                    String name = "n" + (i + 1);
                    agents.add(new Agent(name));
                    Path settingsFile = folder.resolve(name + ".ini");
                    Files.writeString(
                            settingsFile,
                            "[fleet]\nlisten = " + peers.get(i).substring(3) + "\nname = " + name + "\nmembers = "
                                    + String.join(" ", peers) + "\nfolder = " + folder.resolve("fleet-" + name)
                                    + "\ndiscovery = one\n");
                    Dispatcher dispatcher = new Dispatcher(
                            record,
                            name,
                            folder,
                            agents.get(i).server.address(),
                            settings,
                            "{\"version\":41,\"full\":true,\"servers\":[" + old + "]}",
                            Settings.LIMITS,
                            settingsFile.toString());
                    dispatchers.add(dispatcher);
                    dispatcher.start();
                }
                for (Dispatcher dispatcher : dispatchers) {
                    dispatcher.awaitReady();
                }
                return run(dispatchers, fresh);
            } finally {
                dispatchers.forEach(Dispatcher::close);
            }
        }
    }

    private int run(List<Dispatcher> dispatchers, String fresh) throws Exception {
        int watching = awaitOneWatch();
        if (watching < 0) {
            record.line("the watch was never left to one");
            return 2;
        }
        record.line("fleet    n%d watches for all", watching + 1);
        int other = (watching + 1) % MEMBERS;
        if (trouble) {
            dispatchers.get(watching).kill();
            dispatchers.get(other).kill();
        }
        replace(fresh);
        if (trouble) {
            Thread.sleep(DOWN_MS);
            for (int member : new int[] {watching, other}) {
                agents.get(member).toldMs = Long.MAX_VALUE; // what was written to the process that was killed does not count
                dispatchers.get(member).start();
            }
            dispatchers.get(watching).awaitReady();
            dispatchers.get(other).awaitReady();
        }
        int taken = 0;
        long endMs = record.ms() + SEND_MS;
        for (int i = 0; record.ms() < endMs; i++) {
            for (int member : new int[] {watching, other}) {
                String id = "n" + (member + 1) + "-m" + i;
                Http.Message answer = Http.call(
                        dispatchers.get(member).address,
                        "POST /rent-payment HTTP/1.1\r\nX-Txn: " + id + "\r\nX-Lane: rent-payment\r\nX-Org: hangang-runners\r\n"
                                + "X-Remaining: 28000m\r\nX-Addressing: dest=7\r\n",
                        id.getBytes(StandardCharsets.UTF_8),
                        400);
                taken += answer != null && answer.code() / 100 == 2 ? 1 : 0;
            }
            Thread.sleep(100);
        }
        return judge(taken);
    }

    /** Waits until a single dispatcher asks discovery; its number, or -1. */
    private int awaitOneWatch() throws InterruptedException {
        for (int i = 0; i < 10; i++) {
            agents.forEach(agent -> agent.calls.set(0));
            Thread.sleep(4_500); // a watch waits for 3.5 s
            List<Integer> asking = new ArrayList<>();
            for (int member = 0; member < MEMBERS; member++) {
                if (agents.get(member).calls.get() > 0) {
                    asking.add(member);
                }
            }
            record.line("fleet    %d of %d dispatchers ask discovery", asking.size(), MEMBERS);
            if (asking.size() == 1) {
                return asking.get(0);
            }
        }
        return -1;
    }

    /** The address that s-7a had, and that s-8b has from the replacement on. */
    private String receiveAtFirst(Http.Message request, Socket connection) throws Exception {
        boolean replaced = record.ms() >= replacedMs;
        if (replaced && request.start().startsWith("POST /receive ")) {
            String id = request.header("X-Txn"); // all messages are for 7
            strays.put(id, record.ms());
            record.line("call     %s, a message for 7, arrives at s-8b, which serves 8, and runs", id);
        }
        return receive(replaced ? "s-8b" : "s-7a", request);
    }

    private String receive(String endpoint, Http.Message request) throws Exception {
        if (!request.start().startsWith("POST /receive ")) {
            return Http.response(404, "", "");
        }
        Thread.sleep(100);
        return Http.response(200, "", "");
    }

    private int judge(int taken) {
        int late = 0;
        for (Map.Entry<String, Long> stray : new TreeMap<>(strays).entrySet()) {
            Agent agent = agents.get(stray.getKey().charAt(1) - '1');
            long toldMs = Math.min(agent.toldMs, replacedMs + KNOWN_MS);
            if (stray.getValue() > toldMs + GRACE_MS) {
                late++;
            }
        }
        record.line(
                "verdict  %d messages for 7 taken on, %d ran at the endpoint of 8, %d of them over %d ms after their dispatcher was told",
                taken, strays.size(), late, GRACE_MS);
        return late > 0 ? 1 : 0;
    }
}
