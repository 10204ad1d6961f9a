package elderseam.scenario;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Where ordering keys come in: the platform's query, its forwarding during an upgrade, and events. */
class OrderedKeyScenarioTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 20000m;";
    private static final String EVENT =
            "POST /events; ce-specversion: 1.0; ce-source: /books; ce-type: rent-payment; ce-destination: 1;";

    @TempDir
    Path folder;

    private void plays(String script) throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.launcher().useFixedAddress();
            s.launcher()
                    .setSettings(DispatcherLauncher.defaultSettings()
                            .replace("\"effect\":\"once\",", "\"effect\":\"once\",\"fifoByKey\":true,"));
            s.start();
            s.run(script.replace("{to}", TO).replace("{event}", EVENT));
        }
    }

    @Test
    void theKeyIsReadFromTheQueryWhateverElseStandsThere() throws Exception {
        plays("""
                c send POST /rent-payment?x=1&thread=a%20b; {to} X-Txn: first
                c expect 202
                c send POST /rent-payment?thread=a+b&thread2=c; {to} X-Txn: second
                c expect 202
                c send POST /rent-payment?thread=other; {to} X-Txn: third
                c expect 202
                h1 expect first
                h1 expect third
                h1 wait quiet 200
                """);
    }

    @Test
    void aKeyThatCantBeReadIsRefused() throws Exception {
        plays("""
                c send POST /rent-payment?thread=a&thread=b; {to} X-Txn: twice
                c expect 400; bad thread
                m send POST /rent-payment?thread=%zz; {to} X-Txn: malformed
                m expect 400
                c send POST /rent-payment?thread={long}; {to} X-Txn: long
                c expect 400; bad thread
                c send POST /status-update?thread=a&thread=b; {to} X-Txn: unordered
                c expect 202
                """.replace("{long}", "k".repeat(257)));
    }

    /** A request that reaches the older process during an upgrade keeps its key on the way to the newer one. */
    @Test
    void aForwardedRequestKeepsItsKey() throws Exception {
        plays("""
                c send POST /rent-payment?thread=k; {to} X-Txn: first
                c expect 202
                h1 expect first
                relay wait beside
                c send POST /rent-payment?thread=k; {to} X-Txn: second
                c expect 202
                d send POST /rent-payment?thread=k; {to} X-Txn: third
                d expect 202
                h1 wait quiet 300
                h1 send 200
                h1 expect second
                h1 wait quiet 200
                h1 send 200
                h1 expect third
                h1 send 200
                """);
    }

    @Test
    void eventsOfAPartitionKeyGoOneAfterAnother() throws Exception {
        plays("""
                e1 send {event} ce-id: 1; ce-partitionkey: p | 100 NAD
                h1 expect ce-id: 1
                e2 send {event} ce-id: 2; ce-partitionkey: p | 100 NAD
                operator wait INFO -> inflight=2
                c send POST /rent-payment?thread=p; {to} X-Txn: same
                c expect 202
                h1 wait quiet 200
                h1 send 200
                e1 expect 200; delivered
                h1 expect ce-id: 2
                h1 send 200
                e2 expect 200; delivered
                h1 expect same
                h1 send 200
                """);
    }
}
