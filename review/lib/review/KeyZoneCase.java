package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Messages of a class whose repeats are dropped by the endpoints of one zone. Four dispatchers; one of them is killed
 * while its calls are out, and comes back with its folder.
 */
final class KeyZoneCase {
    private static final int MESSAGES = 8; // for each dispatcher
    private static final int DISPATCHERS = 4;
    private static final long WORK_MS = 190; // a member-notice takes 110 to 190 ms
    private static final long WINDOW_MS = 20_000;
    private static final long DOWN_MS = 1_200;
    private static final long DEADLINE_MS = 20_000;

    /** A call, as its endpoint saw it. */
    private record Call(long atMs, String endpoint, String zone) {}

    private final Record record;
    private final boolean trouble;
    private final Map<String, List<Call>> calls = new ConcurrentHashMap<>(); // by message
    private final Map<String, List<Long>> effects = new ConcurrentHashMap<>(); // by zone and idempotency key
    private final Map<String, Integer> effectCount = new ConcurrentHashMap<>(); // by idempotency key

    private KeyZoneCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    static int run(Record record, boolean trouble, Path folder) throws Exception {
        return new KeyZoneCase(record, trouble).run(folder);
    }

    private int run(Path folder) throws Exception {
        String settings = Settings.of(
                DISPATCHERS,
                "\"east-bldg\",\"west-bldg\"",
                Settings.service("member-notice", "by_key", "zone", 3_000, DEADLINE_MS, WINDOW_MS))
                .replace("\"bank\"", "\"single-host\"")
                .replace("\"kindApart\":[false]", "\"kindApart\":[true]")
                .replace("\"zoneFee\":[0.0]", "\"zoneFee\":[0.0,0.03]");
        List<Dispatcher> dispatchers = new ArrayList<>();
        try (Platform platform = new Platform(record);
                Http.Server east = new Http.Server(0, (request, link) -> receive("s-east", "east-bldg", request));
                Http.Server west = new Http.Server(0, (request, link) -> receive("s-west", "west-bldg", request))) {
            platform.list(
                    Platform.entry("s-east", east.address(), "east-bldg", "single-host", 7),
                    Platform.entry("s-west", west.address(), "west-bldg", "single-host", 7));
            try {
                for (int i = 1; i <= DISPATCHERS; i++) {
                    Dispatcher dispatcher = new Dispatcher(
                            record, "n" + i, folder, platform.address(), settings, platform.list(), Settings.LIMITS, "");
                    dispatchers.add(dispatcher);
                    dispatcher.start();
                }
                for (Dispatcher dispatcher : dispatchers) {
                    dispatcher.awaitReady();
                }
                return run(platform, dispatchers);
            } finally {
                dispatchers.forEach(Dispatcher::close);
            }
        }
    }

    private int run(Platform platform, List<Dispatcher> dispatchers) throws Exception {
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS * MESSAGES; i++) {
            int dispatcher = (i / MESSAGES + 1) % DISPATCHERS; // those of n1 last
            String id = "n" + (dispatcher + 1) + "-m" + i;
            if (handIn(dispatchers.get(dispatcher), id)) {
                taken.add(id);
            }
        }
        if (taken.size() < DISPATCHERS * MESSAGES / 2) {
            record.line("only %d messages were taken on", taken.size());
            return 2;
        }
        if (trouble) {
            for (int i = 0; i < WORK_MS && callsOf("n1-") < MESSAGES; i++) {
                Thread.sleep(1);
            }
            Dispatcher struck = dispatchers.get(0);
            struck.kill();
            Thread.sleep(DOWN_MS);
            struck.start();
            struck.awaitReady();
        }
        Thread.sleep(DEADLINE_MS + 1_000);
        return judge(platform, taken);
    }

    /** How many messages of a dispatcher have been called. */
    private long callsOf(String prefix) {
        return calls.keySet().stream().filter(id -> id.startsWith(prefix)).count();
    }

    private boolean handIn(Dispatcher dispatcher, String id) {
        byte[] body = ("notice " + id).getBytes(StandardCharsets.UTF_8);
        Http.Message answer = Http.call(
                dispatcher.address,
                "POST /member-notice HTTP/1.1\r\nX-Txn: " + id + "\r\nX-Lane: member-notice\r\nX-Org: hangang-runners\r\n"
                        + "X-Remaining: " + DEADLINE_MS + "m\r\nIdempotency-Key: key-" + id
                        + "\r\nX-Addressing: dest=7\r\n",
                body,
                400);
        record.line("client   %s handed in, answer %s", id, answer == null ? "none" : answer.code());
        return answer != null && answer.code() / 100 == 2;
    }

    /** An endpoint: a call whose last byte has come runs, also if its connection ends; its zone drops repeats of a key. */
    private String receive(String endpoint, String zone, Http.Message request) throws Exception {
        if (!request.start().startsWith("POST /receive ")) {
            return Http.response(404, "", "");
        }
        String id = request.header("X-Txn");
        String key = request.header("Idempotency-Key");
        record.line("call     %s arrives at %s (zone %s)", id, endpoint, zone);
        calls.computeIfAbsent(id, any -> new java.util.concurrent.CopyOnWriteArrayList<>()).add(new Call(record.ms(), endpoint, zone));
        Thread.sleep(WORK_MS);
        synchronized (effects) {
            List<Long> earlier = effects.computeIfAbsent(zone + "/" + key, any -> new ArrayList<>());
            boolean repeat = earlier.stream().anyMatch(at -> record.ms() - at < WINDOW_MS + WORK_MS);
            if (!repeat) {
                earlier.add(record.ms());
                effectCount.merge(key, 1, Integer::sum);
            }
            record.line("run      %s at %s %s", id, endpoint, repeat ? "dropped as a repeat" : "takes effect");
        }
        return Http.response(200, "", "");
    }

    private int judge(Platform platform, List<String> taken) {
        int broken = 0;
        int lost = 0;
        for (String id : taken) {
            List<Call> of = calls.getOrDefault(id, List.of());
            if (of.isEmpty() && !platform.notices.containsKey(id)) {
                lost++;
            }
            long zones = of.stream().map(Call::zone).distinct().count();
            int times = effectCount.getOrDefault("key-" + id, 0);
            if (zones > 1) {
                broken++;
                record.line("BROKEN   %s was sent to %s; it took effect %d times", id, of, times);
            }
        }
        record.line(
                "verdict  %d messages taken on, %d sent to a second zone after a call that may have run, %d without an end",
                taken.size(), broken, lost);
        return broken > 0 ? 1 : 0;
    }
}
