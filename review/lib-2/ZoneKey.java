package review2;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A class whose key only the endpoints of one zone know; SIGKILL with its calls out. */
final class ZoneKey {
    private static final int MESSAGES = 8;
    private static final long WINDOW_MS = 7_500;

    private ZoneKey() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        String settings = Rig.settings(
                "\"wdh-1\",\"wdh-2\"",
                Rig.org("erongo-lettings", 1.0),
                Rig.lane("job-order", "by_key", "zone", 28_000, WINDOW_MS, false));
        // a sound endpoint that takes a second for a job order
        Endpoint near = new Endpoint(rig.record, "h1/wdh-1", call -> Endpoint.Reply.ok(1_000));
        Endpoint far = new Endpoint(rig.record, "h2/wdh-2", call -> Endpoint.Reply.ok(1_000));
        rig.platform.list("s-00000001", near.address(), "wdh-1", "landlord-books", 1, "SERVING");
        rig.platform.list("s-00000002", far.address(), "wdh-2", "landlord-books", 1, "SERVING");
        rig.configure(settings);
        rig.startOthers(3); // one of four is restarted
        Dispatcher first = rig.start("n1", "", "");
        if (!first.awaitReady(30_000)) {
            rig.end(Rig.NOT_RUN, "the dispatcher did not start");
        }
        int taken = 0;
        for (int i = 0; i < MESSAGES; i++) {
            taken += rig.client.send("a0000000000000" + (10 + i), "job-order", "erongo-lettings", 1, 20_000, "key-" + i, "")
                            / 100
                    == 2
                    ? 1
                    : 0;
        }
        Thread.sleep(300);
        int zonesCalled = (near.calls().isEmpty() ? 0 : 1) + (far.calls().isEmpty() ? 0 : 1);
        if (taken < MESSAGES || zonesCalled < 2) {
            rig.end(Rig.NOT_RUN, taken + " taken on, calls in " + zonesCalled + " zones");
        }
        Dispatcher last = first;
        if (rig.trouble) {
            first.kill();
            Thread.sleep(600);
            rig.configure(settings);
            last = rig.start("n1'", "", "");
            if (!last.awaitReady(30_000)) {
                rig.end(Rig.NOT_RUN, "the dispatcher did not start again");
            }
        }
        Thread.sleep(12_000);
        last.kill();
        judge(rig, near, far);
    }

    /** For each key: no call outside the zone of the first one, which has run. */
    private static void judge(Rig rig, Endpoint near, Endpoint far) {
        List<Endpoint.Call> calls = new ArrayList<>(near.calls());
        calls.addAll(far.calls());
        calls.sort(Comparator.comparingLong(Endpoint.Call::arrivedNs));
        Map<String, List<String>> byKey = new TreeMap<>();
        calls.forEach(call -> byKey.computeIfAbsent(call.key(), key -> new ArrayList<>()).add(call.endpoint()));
        int twice = 0;
        for (Map.Entry<String, List<String>> key : byKey.entrySet()) {
            boolean otherZone = key.getValue().stream().distinct().count() > 1;
            rig.record.line("judge", key.getKey() + " called at " + key.getValue() + (otherZone ? ": ran in both zones" : ""));
            twice += otherZone ? 1 : 0;
        }
        if (twice > 0) {
            rig.end(Rig.BROKEN, twice + " of " + byKey.size() + " job orders took effect in two zones");
        }
        rig.end(Rig.HELD, "each of " + byKey.size() + " job orders stayed in the zone of its first call");
    }
}
