package review2;

import java.util.List;

/** A restart by SIGKILL at which the configuration has one class more. */
final class NewClass {
    private static final String[] IDS = {"b000000000000001", "b000000000000002", "b000000000000003"};

    private NewClass() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        String orders = Rig.lane("job-order", "by_key", "all", 28_000, 7_500, false);
        String rents = Rig.lane("rent-payment", "once", "all", 28_000, 0, false);
        String updates = Rig.lane("status-update", "repeatable", "all", 16_000, 0, false);
        String inspections = Rig.lane("inspection", "repeatable", "all", 16_000, 0, false);
        String org = Rig.org("erongo-lettings", 1.0);
        String before = Rig.settings("\"wdh-1\"", org, String.join(",", orders, rents, updates));
        String after = Rig.settings("\"wdh-1\"", org, String.join(",", inspections, orders, rents, updates));
        Endpoint bank = new Endpoint(rig.record, "bank", call -> Endpoint.Reply.ok(1_000));
        rig.platform.list("s-00000001", bank.address(), "wdh-1", "bank", 1, "SERVING");
        rig.configure(before);
        rig.startOthers(3); // one of four is restarted
        Dispatcher first = rig.start("n1", "", "");
        if (!first.awaitReady(30_000)) {
            rig.end(Rig.NOT_RUN, "the dispatcher did not start");
        }
        int taken = 0;
        for (String id : IDS) {
            int status = rig.client.send(id, "rent-payment", "erongo-lettings", 1, 12_000, "", "");
            taken += status / 100 == 2 ? 1 : 0;
        }
        Thread.sleep(300);
        if (taken < IDS.length || bank.calls().size() < IDS.length) {
            rig.end(Rig.NOT_RUN, taken + " taken on, " + bank.calls().size() + " calls out");
        }
        first.kill();
        Thread.sleep(600);
        rig.configure(rig.trouble ? after : before);
        rig.record.line("case", rig.trouble ? "the class inspection is new, before the others" : "the same classes");
        Dispatcher next = rig.start("n1'", "", "");
        boolean ready = next.awaitReady(30_000);
        Thread.sleep(13_000);
        next.kill();
        int twice = 0;
        int lost = 0;
        for (String id : IDS) {
            List<String> runs = bank.calls().stream().map(Endpoint.Call::id).filter(id::equals).toList();
            String notice = rig.platform.notices.getOrDefault(id, "none");
            rig.record.line("judge", id + ": sent " + runs.size() + " times, notice " + notice);
            twice += runs.size() > 1 ? 1 : 0;
            lost += runs.size() == 1 && notice.equals("none") ? 1 : 0;
        }
        if (twice > 0 || lost > 0) {
            rig.end(Rig.BROKEN, "of " + IDS.length + " rent payments " + twice + " ran twice, " + lost + " were lost");
        }
        rig.end(ready ? Rig.HELD : Rig.NOT_RUN, "no rent payment ran twice, and each one's end was told");
    }
}
