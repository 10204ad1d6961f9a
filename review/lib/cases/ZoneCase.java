package cases;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/**
 * Keyed messages whose keys hold in one building, a partner with a route in each of the two, and a SIGKILL while the calls
 * are out. All answers of the partner come at its usual pace.
 */
final class ZoneCase implements Main.Case {
    private static final int MESSAGES = 16;
    private static final long DESTINATION = 7;
    private static final long WINDOW_MS = 20_000;
    private static final long PACE_MS = 190;
    private static final String[] BUILDINGS = {"east-bldg", "west-bldg"};

    /** A call whose last byte has arrived. */
    private record Call(long atMs, String building) {}

    private final Map<String, List<Call>> callsById = new ConcurrentHashMap<>();
    private final Map<String, List<String>> effectsByKey = new ConcurrentHashMap<>();
    private final Map<String, Long> knownKeys = new ConcurrentHashMap<>(); // by building and key: when they were first seen
    private final Map<String, Boolean> delivered = new ConcurrentHashMap<>();
    private Record record;

    @Override
    public List<String> run(Record newRecord, boolean trouble, Path folder) throws Exception {
        record = newRecord;
        try (Platform platform = new Platform(record);
                Http.Server east = route(0);
                Http.Server west = route(1)) {
            platform.list(
                    Platform.entry("s-east", east.address(), BUILDINGS[0], "single-host", DESTINATION, 1.0),
                    Platform.entry("s-west", west.address(), BUILDINGS[1], "single-host", DESTINATION, 1.0));
            try (Dispatcher dispatcher = new Dispatcher(record, folder, platform, Settings.hanbit("zone"), "")) {
                Dispatcher.Run first = dispatcher.start();
                first.awaitReady();
                List<String> taken = handIn(dispatcher.address);
                if (trouble) {
                    awaitCalls(taken);
                    first.kill();
                    Thread.sleep(600);
                    dispatcher.start().awaitReady();
                }
                awaitEnds(taken, platform);
                return judge(taken);
            }
        }
    }

    /** A route of the partner: begins a call once its last byte has arrived, and drops repeats of a key in its building. */
    private Http.Server route(int index) throws IOException {
        String building = BUILDINGS[index];
        return new Http.Server(0, (request, connection) -> {
            if (!request.start().startsWith("POST /receive ")) {
                return Http.response(404, "", "");
            }
            String id = request.header("X-Txn");
            String key = request.header("Idempotency-Key");
            long now = record.ms();
            callsById.computeIfAbsent(id, absent -> new CopyOnWriteArrayList<>()).add(new Call(now, building));
            Long known = knownKeys.putIfAbsent(building + " " + key, now);
            boolean repeat = known != null && now - known <= WINDOW_MS;
            if (!repeat) {
                effectsByKey.computeIfAbsent(key, absent -> new CopyOnWriteArrayList<>()).add(building);
            }
            record.line("call     %s at %s%s", id, building, repeat ? ", a repeat, dropped" : ", takes effect");
            Thread.sleep(PACE_MS);
            delivered.put(id, true);
            record.line("answer   %s 200", id);
            return Http.response(200, "", "");
        });
    }

    /** Hands all messages in at once; returns the ids of those that were taken on. */
    private List<String> handIn(String address) throws InterruptedException {
        List<String> taken = new CopyOnWriteArrayList<>();
        CountDownLatch answered = new CountDownLatch(MESSAGES);
        for (int i = 0; i < MESSAGES; i++) {
            String id = String.format("%016x", 0x5c0f6e1a00000000L + i);
            Http.start(() -> {
                Http.Message answer = Http.call(
                        address,
                        "POST /member-notice HTTP/1.1\r\nX-Txn: " + id
                                + "\r\nX-Lane: member-notice\r\nX-Org: hangang-runners\r\nX-Remaining: 20000m\r\n"
                                + "Idempotency-Key: k" + id + "\r\nX-Addressing: dest=" + DESTINATION + "\r\n",
                        ("notice " + id).getBytes(StandardCharsets.UTF_8),
                        400);
                record.line("client   %s -> %s", id, answer == null ? "no answer" : answer.code());
                if (answer != null && answer.code() / 100 == 2) {
                    taken.add(id);
                }
                answered.countDown();
            });
        }
        answered.await();
        return taken;
    }

    /** Waits until a call of each message is out, or has been answered; 150 ms at most. */
    private void awaitCalls(List<String> taken) throws InterruptedException {
        long end = record.ms() + 150;
        while (!callsById.keySet().containsAll(taken) && record.ms() < end) {
            Thread.sleep(1);
        }
    }

    private void awaitEnds(List<String> taken, Platform platform) throws InterruptedException {
        long end = record.ms() + 21_000;
        while (record.ms() < end
                && !taken.stream().allMatch(id -> delivered.containsKey(id) || platform.notices.containsKey(id))) {
            Thread.sleep(20);
        }
        Thread.sleep(2_000);
    }

    private List<String> judge(List<String> taken) throws IOException {
        List<String> broken = new ArrayList<>();
        int firstInWest = 0;
        for (String id : taken) {
            List<Call> calls = callsById.getOrDefault(id, List.of());
            if (calls.isEmpty()) {
                continue;
            }
            Call first = calls.get(0); // none was turned away, so each may have executed
            firstInWest += first.building.equals(BUILDINGS[1]) ? 1 : 0;
            for (Call call : calls) {
                if (!call.building.equals(first.building)) {
                    broken.add("duplicate: " + id + " may have executed in " + first.building + " at " + first.atMs
                            + " ms and was sent to " + call.building + " at " + call.atMs + " ms; effects of its key in "
                            + effectsByKey.get("k" + id));
                }
            }
        }
        record.line("counted  %d taken on, the first call of %d in %s", taken.size(), firstInWest, BUILDINGS[1]);
        if (taken.size() < MESSAGES / 2 || firstInWest == 0) {
            throw new IOException("too few messages were taken on or sent to " + BUILDINGS[1]);
        }
        return broken;
    }
}
