package elderseam.scenario;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Messages that go to one endpoint in one turn share a call where the settings allow it. */
class BatchedCallsTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 20000m;";

    @TempDir
    Path folder;

    /** Three messages wait out a pause that the endpoint asked for, and go together after it. */
    private static final String THREE_TOGETHER = """
            c send POST /rent-payment; {to} X-Txn: a | 1
            c expect 202
            h1 expect POST /receive HTTP; a
            h1 send 429; X-RateLimit-Wait-Ms: 400
            c send POST /rent-payment; {to} X-Txn: b | 2
            c expect 202
            c send POST /rent-payment; {to} X-Txn: c | 3
            c expect 202
            """;

    private void plays(String script) throws Exception {
        try (Scenario s = new Scenario(folder)) {
            s.launcher()
                    .setSettings(DispatcherLauncher.defaultSettings()
                            .replace("\"batchByKind\":[1]", "\"batchByKind\":[20]"));
            s.start();
            s.run((THREE_TOGETHER + script).replace("{to}", TO));
        }
    }

    @Test
    void eachEndsAsTheAnswerSays() throws Exception {
        plays("""
                h1 expect POST /receive-many; "id":"a"; "id":"b","body":"Mg=="; "id":"c"
                h1 send 200 | [{"id":"b","state":"accepted"},{"id":"c","state":"deferred"},{"id":"a","state":"accepted"}]
                h1 expect POST /receive HTTP; X-Txn: c
                h1 send 200
                platform wait quiet 200
                """);
    }

    /** Nothing that may have run is sent again, and nothing is lost: the platform hears of both. */
    @Test
    void anAnswerThatBreaksOffRepeatsNothing() throws Exception {
        plays("""
                h1 expect POST /receive-many
                h1 raw HTTP/1.1 200 x\\r\\nContent-Length: 60\\r\\n\\r\\n[{"id":"b","state":"accepted"}
                h1 close
                platform expect undeliverable
                platform expect undeliverable
                platform expect undeliverable
                h1 wait quiet 400
                """);
    }

    // Guards against issue 56: the wait in the answer to a shared call is discarded where the answer breaks off.
    @Test
    void theWaitOfAnAnswerThatBreaksOffIsKept() throws Exception {
        plays("""
                h1 expect POST /receive-many
                h1 raw HTTP/1.1 200 x\\r\\nX-RateLimit-Wait-Ms: 1500\\r\\nContent-Length: 60\\r\\n\\r\\n[{"id":"b"
                h1 close
                platform expect undeliverable
                c send POST /status-update; {to} X-Txn: d | 4
                c expect 202
                h1 wait quiet 1000
                h1 expect X-Txn: d
                h1 send 200
                """);
    }

    /** Of a message that the answer does not name nobody knows whether it ran. */
    @Test
    void anAnswerWithTooFewPartsEndsTheOthersAsUnsure() throws Exception {
        plays("""
                h1 expect POST /receive-many
                h1 send 200 | [{"id":"b","state":"accepted"}]
                platform expect undeliverable
                platform expect undeliverable
                h1 wait quiet 400
                """);
    }

    /** A kill with the call out: none of its messages goes again, and the platform hears of each. */
    @Test
    void aKillLeavesEachOfThemUnsure() throws Exception {
        plays("""
                h1 expect POST /receive-many
                relay close kill
                relay wait start
                platform expect undeliverable
                platform expect undeliverable
                platform expect undeliverable
                h1 wait quiet 400
                """);
    }
}
