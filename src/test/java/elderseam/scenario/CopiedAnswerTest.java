package elderseam.scenario;

import static elderseam.scenario.Scenario.play;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An answer that comes once more on its connection says nothing of the next request there. */
class CopiedAnswerTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 9000m;";

    @TempDir
    Path folder;

    /** The watches that wait and that come next get no answer but the copy. */
    // Guards against issue 53: the copy of an older list is taken for the next one, and brings back a deleted endpoint.
    @Test
    void aCopyOfAnOlderListChangesNothing() throws Exception {
        play(folder, """
                platform watched 60000
                platform send h3 SERVING
                operator wait INFO -> hosts_listed=3
                platform send h3 DELETED
                operator wait INFO -> hosts_listed=2
                platform send mute
                platform send mute
                platform repeat 2
                h1 wait quiet 300
                operator ask INFO -> hosts_listed=2
                """);
    }

    // Guards against issue 53: bytes that no request asked for leave no trace in the log and the metrics.
    @Test
    void unexpectedBytesAreLoggedWithTheirConnection() throws Exception {
        play(folder, """
                c send POST /status-update; {to} X-Txn: say
                c expect 202
                h1 expect say
                h1 send 200
                operator wait INFO -> status-update.success=1
                h1 send 503
                h1 wait closed
                relay expect http.unexpected_input count=1 endpoint=h1 connection= ... place=IDLE ... HTTP/1.1 503
                operator ask INFO -> unexpected_inputs=1
                """.replace("{to}", TO));
    }

    // Guards against issue 56: an answer that is not believed leaves no trace of what it held.
    @Test
    void aDiscardedAnswerIsLoggedWithWhatItHeld() throws Exception {
        play(folder, """
                c send POST /status-update; {to} X-Txn: say
                c expect 202
                h1 expect say
                h1 raw HTTP/1.1 429 x\\r\\nX-RateLimit-Wait-Ms: 900\\r\\nContent-Length: 10\\r\\n\\r\\nabc
                h1 end
                relay expect http.response_discarded count=1 endpoint=h1 connection= ... reason=MALFORMED code=429 ... Wait-Ms: 900
                operator ask INFO -> discarded_responses=1
                """.replace("{to}", TO));
    }

    /** A connection has carried one message, and the copy of that answer meets the next one. */
    private void playsCopyAcross(String path, String pauseMs, String end) throws Exception {
        play(folder, """
                c send POST /status-update; {to} X-Txn: first
                c expect 202
                h1 expect X-Txn: first
                h1 send 200
                operator wait INFO -> status-update.success=1
                h1 wait quiet {pause}
                c send POST /{path}; {to} X-Txn: second
                c expect 202
                h1 expect X-Txn: second
                h1 send 200
                operator wait INFO -> {path}.success={count}
                h1 send 503
                relay expect request.delivery_refuted id=second
                {end}
                """.replace("{to}", TO)
                .replace("{count}", path.equals("status-update") ? "2" : "1")
                .replace("{path}", path)
                .replace("{pause}", pauseMs)
                .replace("{end}", end));
    }

    // Guards against issue 53: a copied 200 ends a message whose own answer is 503, and it is lost.
    @Test
    void aRepeatableMessageThatACopyEndedIsAttemptedAgain() throws Exception {
        playsCopyAcross("status-update", "300", """
                h1 expect X-Txn: second
                h1 send 200
                platform wait quiet 200
                """);
    }

    // Guards against issue 53: as above, for a message that must not be sent again: its client is notified instead.
    @Test
    void aOnceOnlyMessageThatACopyEndedFails() throws Exception {
        playsCopyAcross("rent-payment", "900", """
                platform expect second; undeliverable
                h1 wait quiet 300
                """);
    }
}
