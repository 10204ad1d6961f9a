package review2;

import java.util.concurrent.atomic.AtomicBoolean;

/** A planned restart at which the configuration has one class less, of which nothing is held. */
final class RetiredClass {
    private static final String[] IDS = {"c000000000000001", "c000000000000002", "c000000000000003"};
    private static final long REMAINING_MS = 25_000;
    private static final int STARTS = 5;

    private RetiredClass() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        String updates = Rig.lane("status-update", "repeatable", "all", 16_000, 0, false);
        String orders = Rig.lane("job-order", "by_key", "all", 28_000, 7_500, false);
        String rents = Rig.lane("rent-payment", "once", "all", 28_000, 0, false);
        String org = Rig.org("erongo-lettings", 1.0);
        String before = Rig.settings("\"wdh-1\"", org, String.join(",", updates, orders, rents));
        String after = Rig.settings("\"wdh-1\"", org, String.join(",", updates, rents));
        AtomicBoolean shut = new AtomicBoolean(true);
        // a bank that is shut, and tells nothing of when it opens
        Endpoint bank = new Endpoint(
                rig.record,
                "bank",
                call -> shut.get() ? new Endpoint.Reply(20, 503, java.util.Map.of()) : Endpoint.Reply.ok(150));
        rig.platform.list("s-00000001", bank.address(), "wdh-1", "bank", 1, "SERVING");
        rig.configure(before);
        rig.startOthers(3); // one of four is restarted
        Dispatcher process = rig.start("n1", "", "");
        if (!process.awaitReady(30_000)) {
            rig.end(Rig.NOT_RUN, "the dispatcher did not start");
        }
        long sentNs = System.nanoTime();
        int taken = 0;
        for (String id : IDS) {
            int status = rig.client.send(id, "rent-payment", "erongo-lettings", 1, REMAINING_MS, "", "");
            taken += status / 100 == 2 ? 1 : 0;
        }
        if (taken < IDS.length) {
            rig.end(Rig.NOT_RUN, taken + " taken on");
        }
        process.signal("TERM");
        if (!process.awaitExit(3_700)) {
            process.kill();
        }
        rig.record.line("n1", "has ended");
        shut.set(false);
        rig.record.line("bank", "open");
        Thread.sleep(600);
        rig.configure(rig.trouble ? after : before);
        rig.record.line("case", rig.trouble ? "the class job-order is retired" : "the same classes");
        boolean ready = false;
        int crashes = 0;
        for (int i = 1; i <= STARTS && !ready; i++) {
            process = rig.start("n1-" + i, "", "");
            ready = process.awaitReady(30_000);
            crashes += !ready && !process.isAlive() ? 1 : 0;
            Thread.sleep(600);
        }
        // lost: neither delivered nor ended by a notice 300 ms after the time, or 1.5 s after the dispatcher is ready
        long leftMs = REMAINING_MS + 2_000 - (System.nanoTime() - sentNs) / 1_000_000;
        Thread.sleep(Math.max(1_500, leftMs));
        process.kill();
        int lost = 0;
        for (String id : IDS) {
            boolean delivered = rig.record.contains("answered " + id + " 200");
            String notice = rig.platform.notices.getOrDefault(id, "none");
            rig.record.line("judge", id + ": " + (delivered ? "delivered" : "not delivered") + ", notice " + notice);
            lost += !delivered && notice.equals("none") ? 1 : 0;
        }
        if (lost > 0 || crashes > 0) {
            rig.end(Rig.BROKEN, lost + " of " + IDS.length + " lost, " + crashes + " starts crashed");
        }
        rig.end(Rig.HELD, "each rent payment was delivered or its end told");
    }
}
