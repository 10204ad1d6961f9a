package review;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * A partner hangs while a batch of rent payments is out. Its sender gives up each time after 400 ms and asks its own
 * dispatcher again, with the same identities; what is refused there it hands in at another dispatcher.
 */
final class RefusedCase {
    private static final int EVENTS = 60; // a clump: what a partner of 20 calls a second takes in 3 s
    private static final long DEADLINE_MS = 28_000;
    private static final long HANG_MS = 16_000; // from the first call on
    private static final int PATIENCE_MS = 400;
    private static final long AGAIN_MS = 310; // from giving up to asking again
    private static final int PATIENT_CLIENTS = 99; // so that one client of a hundred is impatient
    private static final long PATIENT_INTERVAL_MS = 2_475; // 40 messages a second in all
    private static final Pattern RESULT = Pattern.compile("\"id\":\"([^\"]+)\",\"status\":\"([a-z]+)\"");

    private final Record record;
    private final boolean trouble;
    private final Map<String, List<Long>> calls = new ConcurrentHashMap<>(); // by event: when its calls came
    private final Map<String, List<Long>> effects = new ConcurrentHashMap<>(); // by event
    private volatile long hangEndsMs;

    private RefusedCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    static int run(Record record, boolean trouble, Path folder) throws Exception {
        return new RefusedCase(record, trouble).run(folder);
    }

    private int run(Path folder) throws Exception {
        String settings = Settings.of(
                        2,
                        "\"wdh-1\"",
                        Settings.service("rent-payment", "once", "all", 2_000, DEADLINE_MS, 5_000) + ","
                                + PatientClients.service())
                .replace("\"callSlots\":32", "\"callSlots\":42")
                .replace("\"mostHeld\":64", "\"mostHeld\":175");
        List<String> events = List.of("127.0.0.1:" + Dispatcher.freePort(), "127.0.0.1:" + Dispatcher.freePort());
        try (Platform platform = new Platform(record);
                Http.Server endpoint = new Http.Server(0, this::receive);
                Http.Server usual = PatientClients.endpoint()) {
            platform.list(
                    Platform.entry("s-1", endpoint.address(), "wdh-1", "bank", 7),
                    Platform.entry("s-2", usual.address(), "wdh-1", "bank", 8).replace("20.0", "60.0"));
            List<Dispatcher> dispatchers = new ArrayList<>();
            try {
                for (int i = 0; i < 2; i++) {
                    Path settingsFile = folder.resolve("n" + (i + 1) + ".ini");
                    Files.writeString(settingsFile, "[events]\nlisten = " + events.get(i) + "\nremember_s = 3600\n");
                    Dispatcher dispatcher = new Dispatcher(
                            record,
                            "n" + (i + 1),
                            folder,
                            platform.address(),
                            settings,
                            platform.list(),
                            Settings.LIMITS,
                            settingsFile.toString());
                    dispatchers.add(dispatcher);
                    dispatcher.start();
                }
                for (Dispatcher dispatcher : dispatchers) {
                    dispatcher.awaitReady();
                }
                PatientClients patient = new PatientClients(dispatchers, PATIENT_CLIENTS, PATIENT_INTERVAL_MS);
                Thread.sleep(1_000);
                int verdict = run(events.get(0), events.get(1));
                record.line("usual    %s", patient.end());
                return verdict;
            } finally {
                dispatchers.forEach(Dispatcher::close);
            }
        }
    }

    private int run(String own, String other) throws Exception {
        List<String> events = IntStream.rangeClosed(1, EVENTS).mapToObj(i -> "rent-" + i).toList();
        long startMs = record.ms();
        Map<String, String> answer = Map.of();
        int asked = 0;
        while (answer.isEmpty() && record.ms() - startMs < DEADLINE_MS) {
            if (asked++ > 0) {
                Thread.sleep(AGAIN_MS);
            }
            answer = send(own, events, trouble ? PATIENCE_MS : (int) DEADLINE_MS);
        }
        long answeredMs = record.ms();
        record.line("sender   n1 answered after %d questions: %s", asked, count(answer));
        List<String> refused = answer.entrySet().stream()
                .filter(entry -> entry.getValue().equals("refused"))
                .map(Map.Entry::getKey)
                .toList();
        int refusedInFlight = 0;
        for (String id : refused) {
            boolean out = calls.getOrDefault(id, List.of()).stream().anyMatch(at -> at < answeredMs);
            refusedInFlight += out ? 1 : 0;
        }
        record.line("sender   %d refused, %d of them with a call out that nobody answered", refused.size(), refusedInFlight);
        if (!refused.isEmpty()) {
            Thread.sleep(1_000); // retry_after
            record.line("sender   hands in at n2: %s", count(send(other, refused, (int) DEADLINE_MS)));
        }
        Thread.sleep(Math.max(0, startMs + HANG_MS + 3_000 - record.ms()));
        int twice = 0;
        for (Map.Entry<String, List<Long>> effect : new TreeMap<>(effects).entrySet()) {
            if (effect.getValue().size() > 1) {
                twice++;
                record.line("BROKEN   event %s took effect at %s ms", effect.getKey(), effect.getValue());
            }
        }
        record.line(
                "verdict  %d events, %d refused while a call of theirs was out, %d took effect twice",
                EVENTS, refusedInFlight, twice);
        if (answer.isEmpty()) {
            record.line("no answer came at all");
            return 2;
        }
        return refusedInFlight > 0 || twice > 0 ? 1 : 0;
    }

    private static Map<String, Integer> count(Map<String, String> answer) {
        Map<String, Integer> counts = new TreeMap<>();
        answer.values().forEach(status -> counts.merge(status, 1, Integer::sum));
        return counts;
    }

    /** Sends a batch of these events; the status of each event, empty if the sender gave up. */
    private Map<String, String> send(String address, List<String> ids, int patienceMs) {
        StringBuilder batch = new StringBuilder();
        for (String id : ids) {
            batch.append(batch.length() == 0 ? "[" : ",")
                    .append("{\"specversion\":\"1.0\",\"type\":\"rent-payment\",\"source\":\"/erongo-lettings\",\"id\":\"")
                    .append(id)
                    .append("\",\"destination\":\"7\",\"data\":{\"rent\":\"")
                    .append(id)
                    .append("\"}}");
        }
        Http.Message answer = Http.call(
                address,
                "POST /events HTTP/1.1\r\nContent-Type: application/cloudevents-batch+json\r\n",
                batch.append("]").toString().getBytes(StandardCharsets.UTF_8),
                patienceMs);
        if (answer == null) {
            record.line("sender   gave up after %d ms", patienceMs);
            return Map.of();
        }
        Map<String, String> results = new TreeMap<>();
        Matcher result = RESULT.matcher(answer.text());
        while (result.find()) {
            results.put(result.group(1), result.group(2));
        }
        record.line("sender   answer %d from %s: %s", answer.code(), address, count(results));
        return results;
    }

    /** A partner that takes calls, answers none until its hang ends, then runs what it took and answers 200. */
    private String receive(Http.Message request, Socket connection) throws Exception {
        if (!request.start().startsWith("POST /events ")) {
            return Http.response(404, "", "");
        }
        String id = request.header("ce-id");
        synchronized (this) {
            hangEndsMs = hangEndsMs == 0 ? record.ms() + HANG_MS : hangEndsMs;
        }
        calls.computeIfAbsent(id, any -> new CopyOnWriteArrayList<>()).add(record.ms());
        record.line("call     %s arrives", id);
        Thread.sleep(Math.max(100, hangEndsMs - record.ms()));
        effects.computeIfAbsent(id, any -> new CopyOnWriteArrayList<>()).add(record.ms());
        record.line("run      %s takes effect", id);
        return Http.response(200, "", "");
    }
}
