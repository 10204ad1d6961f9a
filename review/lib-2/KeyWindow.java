package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A payment with the key of one that was accepted more than remember_s before. */
final class KeyWindow {
    private static final long REMEMBER_S = 5;
    private static final String[] IDS = {"f000000000000001", "f000000000000002"};

    private KeyWindow() {}

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args);
        String settings = Rig.settings(
                "\"wdh-1\"",
                Rig.org("erongo-lettings", 1.0),
                Rig.lane("rent-payment", "once", "all", 28_000, 0, false));
        Endpoint bank = new Endpoint(rig.record, "bank", call -> Endpoint.Reply.ok(150));
        rig.platform.list("s-00000001", bank.address(), "wdh-1", "bank", 1, "SERVING");
        rig.configure(settings);
        Path rules = rig.folder.resolve("keys.rules");
        Files.writeString(
                rules,
                "[rule lease]\nwhen = has(body.lease) && has(body.month)\n"
                        + "key = message.tenant + '/' + string(body.lease) + '/' + body.month\n");
        Path ini = rig.folder.resolve("elderseam.ini");
        Files.writeString(ini, "[rules]\nfiles = " + rules + "\nremember_s = " + REMEMBER_S + "\n");
        Dispatcher process = rig.start("n1", "", ini.toString());
        if (!process.awaitReady(30_000)) {
            rig.end(Rig.NOT_RUN, "the dispatcher did not start");
        }
        // the first is delivered well within its time of 2 s
        int first = pay(rig, IDS[0], "2026-12");
        Thread.sleep(REMEMBER_S * 1_000 + 3_000);
        rig.record.line("case", "the first was accepted over " + (REMEMBER_S + 2) + " s ago; remember_s = " + REMEMBER_S);
        int second = pay(rig, IDS[1], rig.trouble ? "2026-12" : "2027-01");
        Thread.sleep(2_000 + 1_000);
        process.kill();
        List<String> ran = bank.calls().stream().map(Endpoint.Call::id).toList();
        if (first / 100 != 2 || !ran.contains(IDS[0])) {
            rig.end(Rig.NOT_RUN, "the first payment was not delivered");
        }
        String notice = rig.platform.notices.getOrDefault(IDS[1], "none");
        rig.record.line("judge", IDS[1] + ": answered " + second + ", sent " + (ran.contains(IDS[1]) ? "once" : "never")
                + ", notice " + notice);
        if (second / 100 == 2 && !ran.contains(IDS[1]) && notice.equals("none")) {
            rig.end(Rig.BROKEN, "a payment was taken on and lost: sent to nobody, and no notice");
        }
        rig.end(Rig.HELD, "the payment was delivered, refused, or its end told");
    }

    private static int pay(Rig rig, String id, String month) {
        String body = "{\"lease\":7,\"month\":\"" + month + "\",\"payment\":\"" + id + "\"}";
        rig.record.line("client", id + " has the body " + body);
        return rig.client.send(id, "rent-payment", "erongo-lettings", 1, 2_000, "", "", body);
    }
}
