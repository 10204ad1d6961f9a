package cases;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Settings of small deployments, in the form of the simulator's first message. */
final class Settings {
    /** The memory, descriptors and disk of a dispatcher. */
    static final String LIMITS = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}";

    private Settings() {}

    /** windhoek-main: its classes, kinds and figures. */
    static String windhoek() {
        return """
                {"flavors":["bank","contractor","landlord-books"],"localities":["wdh-1"],"discovery":"ask",
                "domainType":"deliver","weightKind":"nominal","worthBy":"request","replicasOfMe":1,"me":0,"tier":0,"zone":0,
                "layers":["partners"],"roundNs":5000000,"overShareWorth":0.1,"clients":{"marksRetry":false},
                "extra":{"callSlots":42,"fades":"line","kindApart":[false,false,false],"batchByKind":[1,1,1],
                "zoneFee":[0.0],"refusalCost":0.05},
                "limits":{"connIdleNs":15000000000,"connectTimeoutNs":1500000000,"maxAttempts":12,
                "maxRetryAfterNs":3000000000,"mayCancel":true,"mayTell":false,"mostHeld":175,"multiplex":1,"probes":true,
                "retryAfter":true,"secondCopies":false},
                "orgs":[{"name":"erongo-lettings","quotaPerS":24.0,"share":0.4},
                {"name":"khomas-homes","quotaPerS":21.0,"share":0.36},
                {"name":"oshana-rentals","quotaPerS":14.0,"share":0.24}],
                "prices":{"handshake":0.06,"crossZone":0.0,"probe":0.01},
                "safety":{"answerSlackNs":20000000,"coldNs":9200000000,"coldShare":0.21,"drainGraceNs":2000000000,
                "fallMultiple":2.0,"fallNs":3000000000,"mustAskInNs":10000000000},
                "services":[
                {"name":"status-update","effect":"repeatable","keyScope":"all","giveUpNs":16000000000,
                "targetNs":3000000000,"lateWorth":0.4,"points":1.0,"windowNs":5000000000,"stream":false},
                {"name":"job-order","effect":"by_key","keyScope":"all","giveUpNs":28000000000,
                "targetNs":3000000000,"lateWorth":0.5,"points":1.0,"windowNs":7500000000,"stream":false},
                {"name":"rent-payment","effect":"once","keyScope":"all","giveUpNs":28000000000,
                "targetNs":2000000000,"lateWorth":0.3,"points":3.0,"windowNs":5000000000,"stream":false}],
                "telemetry":{"fields":["x0","x1"],"source":"piggyback"}}"""
                .replace("\n", "");
    }

    /** hanbit-main: its classes, kinds, buildings and figures; the keys of member-notice hold in {@code keyScope}. */
    static String hanbit(String keyScope) {
        String clubs = IntStream.range(0, 5)
                .mapToObj(i -> "{\"name\":\""
                        + new String[] {"hangang-runners", "namsan-hiking", "seoul-badminton", "mapo-swim", "gwanak-tennis"}[i]
                        + "\",\"quotaPerS\":20.0,\"share\":" + new double[] {0.28, 0.22, 0.22, 0.21, 0.07}[i] + "}")
                .collect(Collectors.joining(","));
        return """
                {"flavors":["bulk-host","single-host"],"localities":["east-bldg","west-bldg"],"discovery":"push",
                "domainType":"deliver","weightKind":"silent","worthBy":"request","replicasOfMe":2,"me":0,"tier":0,"zone":0,
                "layers":["partners"],"roundNs":5000000,"overShareWorth":0.2,"clients":{"marksRetry":true},
                "extra":{"callSlots":24,"fades":"line","kindApart":[true,true],"batchByKind":[20,1],
                "zoneFee":[0.0,0.03],"refusalCost":0.05},
                "limits":{"connIdleNs":15000000000,"connectTimeoutNs":1500000000,"maxAttempts":8,
                "maxRetryAfterNs":3000000000,"mayCancel":true,"mayTell":false,"mostHeld":120,"multiplex":1,"probes":false,
                "retryAfter":true,"secondCopies":false},
                "orgs":[CLUBS],
                "prices":{"handshake":0.04,"crossZone":0.0,"probe":0.0},
                "safety":{"answerSlackNs":20000000,"coldNs":9900000000,"coldShare":0.21,"drainGraceNs":500000000,
                "fallMultiple":2.0,"fallNs":3000000000,"keyQuietNs":100000000},
                "services":[
                {"name":"member-notice","effect":"by_key","keyScope":"SCOPE","giveUpNs":20000000000,
                "targetNs":3000000000,"lateWorth":0.5,"points":1.0,"windowNs":20000000000,"stream":false},
                {"name":"dues-payment","effect":"once","keyScope":"all","fifoByKey":true,"giveUpNs":24000000000,
                "targetNs":4000000000,"lateWorth":0.5,"points":1.0,"windowNs":20000000000,"stream":false}],
                "telemetry":{"fields":[],"source":"none"}}"""
                .replace("\n", "")
                .replace("CLUBS", clubs)
                .replace("SCOPE", keyScope);
    }
}
