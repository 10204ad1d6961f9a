package elderseam.scenario;

import static elderseam.scenario.Scenario.play;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers of upstream hosts that are spoilt, or carry more than belongs to them, on both fronts. */
class MalformedResponseTest {
    private static final String TO = "X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 9000m;";
    private static final String EVENT =
            "POST /events; ce-specversion: 1.0; ce-type: rent-payment; ce-source: /books;" + " ce-destination: 1;";

    @TempDir
    Path folder;

    private void plays(String script) throws Exception {
        play(folder, script.replace("{to}", TO).replace("{event}", EVENT));
    }

    /** The request has run: a once-only message ends as failed, soon, and its connection is used no more. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "noise and no more of it\\r\\n\\r\\n",
                "HTTP/1.1 2x0 OK\\r\\n\\r\\n",
                "HTTP/1.1 503 x\\r\\nnonsense\\r\\n\\r\\n",
                "HTTP/1.1 503 x\\r\\nContent-Length: -1\\r\\n\\r\\n",
                "HTTP/1.1 429 x\\r\\nContent-Length: 3000000000\\r\\n\\r\\nx",
                "HTTP/1.1 503 x\\r\\nContent-Length: 9\\r\\n\\r\\nshort",
                "HTTP/1.1 503 x\\r\\nX-Endless: {64K}",
                "HTTP/1.1 50"
            })
    void aSpoiltAnswerMayHaveRun(String answer) throws Exception {
        plays("""
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 202
                h1 expect pay
                h1 raw {answer}
                h1 wait closed
                platform expect pay; undeliverable
                e send {event} ce-id: 1
                h1 expect ce-id: 1
                h1 raw {answer}
                e expect 502; "status":"failed"
                h1 wait quiet 200
                """.replace("{answer}", answer));
    }

    /** Where its first line reads 200 it is true, whatever follows; an endless one is cut and not read. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\\r\\nnonsense\\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\nContent-Length: -1\\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 3000000000\\r\\n\\r\\n{64K}",
                "HTTP/1.1 200 OK\\r\\nX-Endless: {64K}",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 9\\r\\n\\r\\nshort",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n"
            })
    void aFirstLineWith200IsTrue(String answer) throws Exception {
        plays("""
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 202
                h1 expect pay
                h1 raw {answer}
                h1 wait closed
                platform wait quiet 100
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 200
                e send {event} ce-id: 1
                h1 expect ce-id: 1
                h1 raw {answer}
                e expect 200; delivered
                h1 wait quiet 100
                """.replace("{answer}", answer));
    }

    /** A second copy or noise after an answer must not be taken for the next one: that connection ends. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n", "noise"})
    void whatFollowsAnAnswerEndsItsConnection(String more) throws Exception {
        plays("""
                c send POST /status-update; {to} X-Txn: say
                c expect 202
                h1 expect say
                h1 raw HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n{more}
                h1 wait closed
                c send POST /rent-payment; {to} X-Txn: pay1
                c expect 202
                h1 expect pay1
                h1 send 200
                h1 raw {more}
                h1 wait closed
                c send POST /rent-payment; {to} X-Txn: pay2
                c expect 202
                h1 expect pay2
                h1 send 500
                platform expect pay2; undeliverable
                """.replace("{more}", more));
    }

    /** 1xx before an answer says nothing; an unreadable report is no report; the connection stays in use. */
    @Test
    void whatIsNotTheAnswerIsPassedOver() throws Exception {
        plays("""
                c send POST /rent-payment; {to} X-Txn: pay
                c expect 202
                h1 expect pay
                h1 raw HTTP/1.1 103 Early\\r\\nLink: x\\r\\n\\r\\nHTTP/1.1 100 Go on\\r\\n\\r\\n
                platform wait quiet 100
                h1 raw HTTP/1.1 503 x\\r\\nX-Pressure: TEXT x0=-, x1=1e999\\r\\nContent-Length: 2\\r\\n\\r\\nno
                h1 expect pay
                h1 raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nok\\r\\n0\\r\\n\\r\\n
                c send POST /rent-payment; {to} X-Txn: pay2
                c expect 202
                h1 expect pay2
                h1 send 200
                platform wait quiet 100
                """);
    }
}
