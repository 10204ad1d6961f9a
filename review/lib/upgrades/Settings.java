package upgrades;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The settings of the cases: the figures are those of the site's pages and of the example in WIRE. */
final class Settings {
    /** How many rules the operator has in the cases that have any. */
    static final int RULES = 200;

    private Settings() {}

    /** The {@code settings} of RELAY_CONFIG. */
    static String platform() {
        return """
            {"flavors":["bank"],"localities":["wdh-1"],"discovery":"ask","weightKind":"nominal","replicasOfMe":2,"me":0,"zone":0,
             "domainType":"deliver","worthBy":"request","overShareWorth":0.1,
             "extra":{"callSlots":42,"fades":"line","kindApart":[false],"batchByKind":[1],"zoneFee":[0.0]},
             "limits":{"connIdleNs":15000000000,"connectTimeoutNs":1500000000,"maxAttempts":12,"maxRetryAfterNs":3000000000,
              "mayCancel":true,"mostHeld":175,"multiplex":1,"secondCopies":false,"probes":false,"retryAfter":true},
             "orgs":[{"name":"erongo-lettings","quotaPerS":24.0,"share":0.4},{"name":"khomas-homes","quotaPerS":21.0,"share":0.36},
              {"name":"oshana-rentals","quotaPerS":14.0,"share":0.24}],
             "prices":{"handshake":0.06,"crossZone":0.0},
             "safety":{"answerSlackNs":20000000,"coldNs":9200000000,"coldShare":0.21,"drainGraceNs":2000000000,"fallMultiple":2.0,
              "fallNs":3000000000,"mustAskInNs":10000000000},
             "services":[
              {"name":"status-update","effect":"repeatable","keyScope":"all","giveUpNs":16000000000,"targetNs":3000000000,"lateWorth":0.4,"points":1.0,"windowNs":5000000000,"stream":false},
              {"name":"job-order","effect":"by_key","keyScope":"all","giveUpNs":28000000000,"targetNs":3000000000,"lateWorth":0.5,"points":1.0,"windowNs":7500000000,"stream":false},
              {"name":"rent-payment","effect":"once","keyScope":"all","giveUpNs":28000000000,"targetNs":2000000000,"lateWorth":0.3,"points":3.0,"windowNs":5000000000,"stream":false}],
             "telemetry":{"fields":["x0","x1"],"source":"silent"}}""";
    }

    /** An operator's settings file with both front ends, and with that many rules. Returns its path. */
    static Path operator(Path folder, int rules) throws IOException {
        StringBuilder text = new StringBuilder("[table floods]\nmatch = first\n");
        for (int i = 1; i <= rules; i++) {
            text.append("[rule flood").append(i).append("]\n");
            text.append("when = message.tenant == 'khomas-homes' && message.destination == ").append(1_000 + i);
            text.append(" && state.rate > 5.0 * state.share\npriority = 2\n");
        }
        Path file = folder.resolve("elderseam.ini");
        String events = "[events]\nlisten = 127.0.0.1:" + Http.freePort() + "\n";
        if (rules == 0) {
            return Files.writeString(file, events);
        }
        Path rulesFile = Files.writeString(folder.resolve("floods.rules"), text.toString());
        return Files.writeString(file, events + "[rules]\nfiles = " + rulesFile + "\n");
    }
}
