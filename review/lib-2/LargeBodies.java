package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Sound endpoints and clients, and messages whose bodies are as large as the protocol allows. */
final class LargeBodies {
    private static final int LARGE_BYTES = 64 << 10;

    /** As in the protocol page's example. */
    private static final int SMALL_BYTES = 212;

    private static final int ENDPOINTS = 30;
    private static final int PER_S = 77;
    private static final int SECONDS = 20;
    private static final long WORK_MS = 210;
    private static final long REMAINING_MS = 12_000;

    /** Half a second after its time, and the 50 ms by which every time limit is longer on sockets. */
    private static final long BOUND_MS = 550;

    private LargeBodies() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        rig.memoryMb = 96;
        String settings = Rig.settings(
                "\"wdh-1\"",
                Rig.org("erongo-lettings", 1.0),
                Rig.lane("status-update", "repeatable", "all", 16_000, 0, false));
        for (int i = 1; i <= ENDPOINTS; i++) {
            Endpoint partner = new Endpoint(rig.record, "partner-" + i, call -> Endpoint.Reply.ok(WORK_MS));
            rig.platform.list(String.format("s-%08x", i), partner.address(), "wdh-1", "landlord-books", i, "SERVING");
        }
        rig.configure(settings);
        Dispatcher process = rig.start("n1", "127.0.0.1:" + Rig.freePort(), "");
        if (!process.awaitReady(30_000)) {
            rig.end(Rig.NOT_RUN, "the dispatcher did not start");
        }
        byte[] body = new byte[rig.trouble ? LARGE_BYTES : SMALL_BYTES];
        new Random(1).nextBytes(body);
        Map<String, Long> takenNs = new ConcurrentHashMap<>();
        Map<String, Integer> results = new ConcurrentHashMap<>();
        ExecutorService clients = Executors.newFixedThreadPool(40);
        long startNs = System.nanoTime();
        for (int i = 0; i < PER_S * SECONDS; i++) {
            long dueNs = startNs + i * 1_000_000_000L / PER_S;
            TimeUnit.NANOSECONDS.sleep(Math.max(0, dueNs - System.nanoTime()));
            String id = String.format("%016x", 0xa0000 + i);
            int dest = i % ENDPOINTS + 1;
            clients.execute(() -> results.merge(send(rig, id, dest, body, takenNs), 1, Integer::sum));
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        rig.record.line("client", "answers: " + results);
        Thread.sleep(REMAINING_MS + 1_500);
        // every message is over by now, and a last small one meets an idle dispatcher
        String last = "00000000000fffff";
        String answer = send(rig, last, 1, new byte[SMALL_BYTES], takenNs);
        Thread.sleep(2_000);
        rig.record.line("n1", "PING: " + process.command("PING").strip() + (process.isAlive() ? "" : ", ended"));
        process.kill();
        judge(rig, takenNs, answer, rig.record.contains("answered " + last + " 200"));
    }

    private static String send(Rig rig, String id, int dest, byte[] body, Map<String, Long> takenNs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Txn", id);
        headers.put("X-Lane", "status-update");
        headers.put("X-Org", "erongo-lettings");
        headers.put("X-Remaining", REMAINING_MS + "m");
        headers.put("X-Addressing", "dest=" + dest);
        Http answer = Client.call(rig.listen, "POST /status-update HTTP/1.1", headers, body, 400);
        String result = answer == null ? "none" : Integer.toString(answer.status());
        rig.record.line("client", "POST /status-update X-Txn " + id + " dest=" + dest + ", " + body.length + " bytes -> " + result);
        if (result.startsWith("2")) {
            takenNs.put(id, System.nanoTime());
        }
        return result;
    }

    private static void judge(Rig rig, Map<String, Long> takenNs, String lastAnswer, boolean lastDelivered) {
        List<String> lost = new ArrayList<>();
        takenNs.forEach((id, atNs) -> {
            Long noticeNs = rig.platform.noticeNs.get(id);
            boolean told = noticeNs != null && (noticeNs - atNs) / 1_000_000 <= REMAINING_MS + BOUND_MS;
            if (!told && !rig.record.contains("answered " + id + " 200")) {
                lost.add(id);
            }
        });
        lost.sort(null);
        rig.record.line("judge", takenNs.size() + " taken on, " + lost.size() + " neither delivered nor told: " + lost);
        rig.record.line("judge", "the last message: answer " + lastAnswer + (lastDelivered ? ", delivered" : ", not delivered"));
        if (!lost.isEmpty()) {
            rig.end(Rig.BROKEN, lost.size() + " of " + takenNs.size() + " messages that were taken on are lost");
        }
        if (!lastDelivered) {
            rig.end(Rig.BROKEN, "the dispatcher hangs: idle, it delivers nothing");
        }
        rig.end(Rig.HELD, "each of " + takenNs.size() + " messages that were taken on was delivered or its end told");
    }
}
